use super::*;

fn next_commands(watch: &mut RegistryWatch, now: &mut f64) -> Vec<WatchCommand> {
    loop {
        let (commands, poll_at) = watch.poll_commands(*now);
        if !commands.is_empty() {
            return commands;
        }
        *now = poll_at.max(*now + 1e-3);
    }
}

fn watching_with(endpoints: usize) -> (RegistryWatch, f64) {
    let (mut watch, mut now) = (RegistryWatch::new(RegistryWatchConfig::default(), endpoints, 1), 0.0);
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Read { .. }]));
    assert_eq!(watch.read_finished(0.1, 50, "c"), ReadVerdict::Good);
    now = 0.1;
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Watch { from: 51, .. }]));
    (watch, now)
}

#[test]
fn failed_watch_resumes_at_next_revision_at_another_server() {
    let (mut watch, mut now) = watching_with(3);
    assert!(watch.watch_progressed(now, 60));
    let first = watch.endpoint;
    watch.failed(now);
    let failed_at = now;
    match next_commands(&mut watch, &mut now)[..] {
        [WatchCommand::Watch { endpoint, from: 61 }] => assert_ne!(endpoint, first),
        ref other => panic!("{other:?}"),
    }
    assert!(now < failed_at + 0.02, "another server must be tried at once");
    // If no server responds, the backoff grows up to its maximum.
    let mut backoffs = Vec::new();
    for _ in 0..9 {
        watch.failed(now);
        let before = now;
        next_commands(&mut watch, &mut now);
        backoffs.push(now - before);
    }
    assert!(backoffs[8] > 0.9 && backoffs.iter().all(|backoff_s| *backoff_s <= 2.0), "{backoffs:?}");
}

#[test]
fn idle_watch_is_closed_and_compaction_causes_full_read() {
    let (mut watch, mut now) = watching_with(2);
    assert!(watch.watch_progressed(now + 1.0, 50));
    assert_eq!(watch.poll_commands(now + 4.5).0, vec![]);
    let commands = watch.poll_commands(now + 5.1).0;
    assert_eq!(commands, vec![WatchCommand::CloseWatch]);
    now += 5.1;
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Watch { from: 51, .. }]));
    watch.was_compacted(now);
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Read { .. }]));
    assert_eq!(watch.read_finished(now, 90, "c"), ReadVerdict::Good);
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Watch { from: 91, .. }]));
}

#[test]
fn older_revision_in_watch_message_causes_full_read() {
    let (mut watch, mut now) = watching_with(2);
    assert!(!watch.watch_progressed(now, 20));
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Read { .. }]));
}

#[test]
fn restored_registry_is_detected_by_cluster_id_at_any_revision() {
    let (mut watch, mut now) = watching_with(1);
    assert!(
        watch.check_cluster(now, "c")
            && watch.check_cluster(now, "")
            && !watch.check_cluster(now, "restored")
    );
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Read { .. }]));
    assert_eq!(watch.read_finished(now, 70, "restored"), ReadVerdict::RolledBack);
    assert!(matches!(next_commands(&mut watch, &mut now)[..], [WatchCommand::Watch { from: 71, .. }]));
}

#[test]
fn lagging_server_is_skipped_and_rollback_needs_two_reports() {
    let (mut watch, mut now) = watching_with(2);
    watch.was_compacted(now);
    next_commands(&mut watch, &mut now);
    let lagging = watch.endpoint;
    assert_eq!(watch.read_finished(now, 40, "c"), ReadVerdict::Stale);
    next_commands(&mut watch, &mut now);
    assert_ne!(watch.endpoint, lagging);
    assert_eq!(watch.read_finished(now, 55, "c"), ReadVerdict::Good);
    watch.was_compacted(now);
    next_commands(&mut watch, &mut now);
    assert_eq!(watch.read_finished(now, 12, "c"), ReadVerdict::Stale);
    next_commands(&mut watch, &mut now);
    assert_eq!((watch.read_finished(now, 12, "c"), watch.revision()), (ReadVerdict::RolledBack, 12));
    // An only server must report the rollback twice, `rollback_confirmation_s` apart.
    let (mut watch, mut now) = watching_with(1);
    watch.was_compacted(now);
    next_commands(&mut watch, &mut now);
    let from = now;
    while watch.read_finished(now, 12, "c") == ReadVerdict::Stale {
        next_commands(&mut watch, &mut now);
    }
    assert!(now >= from + 1.0 && watch.revision() == 12);
}
