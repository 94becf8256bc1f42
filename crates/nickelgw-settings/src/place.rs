//! Where a field stands in a text-format file: the parser tells no places, but whoever mends a file needs them.

/// A step of a path: a field, and which of its repeats.
pub type Step<'a> = (&'a str, usize);

#[derive(PartialEq)]
enum Token<'a> {
    Word(&'a str),
    Mark(char),
}

fn tokens(text: &str) -> Vec<(usize, Token<'_>)> {
    let (mut out, mut line) = (Vec::new(), 1);
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'\n' => line += 1,
            b'#' => {
                while i + 1 < bytes.len() && bytes[i + 1] != b'\n' {
                    i += 1;
                }
            }
            q @ (b'"' | b'\'') => {
                let (from, start) = (i, line);
                i += 1;
                while i < bytes.len() && bytes[i] != q {
                    line += usize::from(bytes[i] == b'\n');
                    i += 1 + usize::from(bytes[i] == b'\\');
                }
                out.push((start, Token::Word(&text[from..(i + 1).min(text.len())])));
            }
            b if b.is_ascii_alphanumeric() || b"_.-+".contains(&b) => {
                let from = i;
                while i + 1 < bytes.len()
                    && (bytes[i + 1].is_ascii_alphanumeric() || b"_.-+".contains(&bytes[i + 1]))
                {
                    i += 1;
                }
                out.push((line, Token::Word(&text[from..=i])));
            }
            b if b.is_ascii_punctuation() => out.push((line, Token::Mark(b as char))),
            _ => {}
        }
        i += 1;
    }
    out
}

/// The line of a field, or of the nearest message around it that is there; 1 where none is.
pub fn line_of(text: &str, path: &[Step]) -> usize {
    let tokens = tokens(text);
    let (mut i, mut found) = (0, 1);
    for &(name, nth) in path {
        let (mut depth, mut seen, mut at) = (0i32, 0, None);
        while i < tokens.len() {
            match &tokens[i].1 {
                Token::Mark('{' | '<') => depth += 1,
                Token::Mark('}' | '>') => depth -= 1,
                Token::Word(w) if depth == 0 && *w == name => {
                    let named = matches!(tokens.get(i + 1), Some((_, Token::Mark(':' | '{' | '<'))));
                    if named && seen == nth {
                        at = Some(i);
                        break;
                    }
                    seen += usize::from(named);
                }
                _ => {}
            }
            if depth < 0 {
                break;
            }
            i += 1;
        }
        let Some(at) = at else { break };
        found = tokens[at].0;
        // Into the message that follows.
        i = at + 1;
        while matches!(tokens.get(i), Some((_, Token::Mark(':' | '{' | '<')))) {
            i += 1;
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const TEXT: &str = "name: \"a # {\"\n# route {\nroute { model: \"x\" }\nroute: {\n  model: \"y\"\n  pace: 4\n}\nzone: \"z\"\n";

    #[test_case(&[("zone", 0)], 8)]
    #[test_case(&[("route", 1), ("pace", 0)], 6)]
    #[test_case(&[("route", 0), ("model", 0)], 3)]
    #[test_case(&[("route", 0), ("pace", 0)], 3; "a missing field is told by its message")]
    #[test_case(&[("none", 0)], 1)]
    fn lines(path: &[Step], line: usize) {
        assert_eq!(line_of(TEXT, path), line);
    }
}
