use super::*;
use test_case::test_case;

const TEXT: &str =
    "name: \"a # {\"\n# route {\nroute { model: \"x\" }\nroute: {\n  model: \"y\"\n  pace: 4\n}\nzone: \"z\"\n";

#[test_case(&[("zone", 0)], 8)]
#[test_case(&[("route", 1), ("pace", 0)], 6)]
#[test_case(&[("route", 0), ("model", 0)], 3)]
#[test_case(&[("route", 0), ("pace", 0)], 3; "a missing field has the line of its message")]
#[test_case(&[("none", 0)], 1)]
fn line_of_a_field(path: &[(&str, usize)], line: usize) {
    let path: Vec<FieldStep> = path.iter().map(|&step| step.into()).collect();
    assert_eq!(line_of(TEXT, &path), line);
}
