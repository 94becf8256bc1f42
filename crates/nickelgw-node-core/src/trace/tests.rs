//! Tests of which traces are kept, and of their text.

use super::*;
use crate::FailureReason;

fn endpoint(id: &str) -> Rc<Endpoint> {
    Rc::new(Endpoint { id: id.into(), address: "a".into(), tls_name: None })
}

fn rationale(requests_ahead: f64, expected_s: f64) -> DispatchRationale {
    DispatchRationale { requests_ahead, expected_s, engine_age_s: f64::INFINITY, unreachable_s: -1.0 }
}

fn trace(n: usize, last: TraceEvent, first_token_at: f64) -> RequestTrace {
    let mut trace = RequestTrace::new(format!("q{n}").into(), "chat".into(), 10.0, 0.5, 100.0);
    let prefill = TraceEvent::AttemptStarted {
        attempt: 0,
        engine: endpoint("r0"),
        is_prefill: true,
        rationale: rationale(2.0, 0.1),
        from_reservation: false,
    };
    let decode = TraceEvent::AttemptStarted {
        attempt: 1,
        engine: endpoint("w0"),
        is_prefill: false,
        rationale: rationale(0.0, 0.05),
        from_reservation: true,
    };
    trace.add(10.0, prefill);
    trace.add(10.1, TraceEvent::AttemptEnded { attempt: 0, outcome: AttemptOutcome::Prefilled });
    trace.add(10.1, decode);
    trace.add(first_token_at, TraceEvent::ResponseStarted { attempt: 1 });
    trace.add(11.0, last);
    trace
}

#[test]
fn failed_and_slow_requests_are_kept_with_a_sample_of_the_rest_within_bounds() {
    let mut buffer = TraceBuffer::default();
    (0..640).for_each(|n| buffer.push(trace(n, TraceEvent::Answered(FinalAnswer::Completed), 10.2)));
    assert_eq!(buffer.len(), 10);
    buffer.push(trace(1000, TraceEvent::Answered(FinalAnswer::Failed(FailureReason::StreamBroken)), 10.2));
    buffer.push(trace(1001, TraceEvent::Answered(FinalAnswer::Completed), 10.7));
    assert!(buffer.find("q1000").is_some() && buffer.find("q1001").is_some());
    (0..3000).for_each(|n| buffer.push(trace(n, TraceEvent::ClientDisconnected, 10.2)));
    assert_eq!(buffer.len(), MAX_TRACES);
    let mut long = trace(1, TraceEvent::ClientDisconnected, 10.2);
    (0..100).for_each(|attempt| {
        long.add(11.0, TraceEvent::AttemptEnded { attempt, outcome: AttemptOutcome::ConnectionLost })
    });
    assert_eq!((long.events.len(), long.omitted_events), (MAX_EVENTS, 57));
}

#[test]
fn text_names_engines_times_and_the_end() {
    let failed = TraceEvent::Answered(FinalAnswer::Failed(FailureReason::StreamBroken));
    let text = trace(7, failed, 10.2).describe();
    for wanted in [
        "q7: model chat",
        "prefill dispatched to r0 (attempt 0; 2.0 requests ahead",
        "prefill completed after 100 ms",
        "reservation handed over, decode dispatched to w0",
        "200.0 ms  first token after 100 ms",
        "failed: StreamBroken",
    ] {
        assert!(text.contains(wanted), "{wanted}: {text}");
    }
}
