//! Tests of the calls that release reservations of earlier processes.

use super::*;

fn endpoint(n: usize) -> Rc<Endpoint> {
    Rc::new(Endpoint { id: format!("r{n}"), address: format!("a{n}"), tls_name: None })
}

#[test]
fn each_engine_is_called_until_it_confirms_with_bounded_concurrency() {
    let mut cleanup = OrphanCleanup::new(1.0, 60.0);
    cleanup.update_endpoints(0.5, (0..40).map(endpoint));
    assert_eq!(cleanup.poll_calls(0.5), (vec![], Some(1.0)));
    let (mut now, mut calls) = (1.0, BTreeMap::<String, usize>::new());
    while !cleanup.is_done() {
        let (called, wake_at) = cleanup.poll_calls(now);
        assert!(called.len() <= MAX_CONCURRENT_CALLS);
        for engine in called {
            let count = calls.entry(engine.address.clone()).or_default();
            *count += 1;
            // a0 does not answer its first call, and a1 fails its first two calls.
            match engine.address.as_str() {
                "a0" if *count == 1 => {}
                "a1" => cleanup.release_finished(now, "a1", *count == 3),
                address => cleanup.release_finished(now, address, true),
            }
        }
        now = wake_at.unwrap_or(now).max(now + 0.01);
        assert!(now < 20.0);
    }
    assert_eq!((calls["a0"], calls["a1"], calls["a2"], calls.len()), (2, 3, 1, 40));
    // An engine that is listed again stays done, and one at a new address is called. Long after the start no
    // engine is called.
    cleanup.update_endpoints(20.0, [endpoint(2), endpoint(50)].into_iter());
    assert_eq!(cleanup.poll_calls(20.0).0, vec![endpoint(50)]);
    cleanup.update_endpoints(100.0, [endpoint(60)].into_iter());
    assert!(cleanup.poll_calls(100.0).0.is_empty() && cleanup.is_done());
}

#[test]
fn engine_that_never_confirms_is_called_until_the_window_ends() {
    let mut cleanup = OrphanCleanup::new(0.0, 10.0);
    cleanup.update_endpoints(0.0, [endpoint(0)].into_iter());
    let mut now = 0.0;
    while !cleanup.is_done() {
        let (called, wake_at) = cleanup.poll_calls(now);
        called.iter().for_each(|engine| cleanup.release_finished(now, &engine.address, false));
        now = wake_at.unwrap_or(now).max(now + 0.01);
        assert!(now < 30.0);
    }
    assert!(now > 9.0);
}
