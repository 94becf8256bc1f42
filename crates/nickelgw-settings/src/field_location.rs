//! Finds the line of a field in a text-format file. The protobuf parser reports locations of syntax errors
//! only, but errors about values need a line too.

/// One step of a path to a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FieldStep<'a> {
    /// Name of the field.
    pub(crate) name: &'a str,
    /// Index among the repeated fields of that name, from 0.
    pub(crate) index: usize,
}

impl<'a> From<&'a str> for FieldStep<'a> {
    fn from(name: &'a str) -> Self {
        FieldStep { name, index: 0 }
    }
}

impl<'a> From<(&'a str, usize)> for FieldStep<'a> {
    fn from((name, index): (&'a str, usize)) -> Self {
        FieldStep { name, index }
    }
}

#[derive(PartialEq)]
enum TokenKind<'a> {
    Word(&'a str),
    Punctuation(char),
}

struct Token<'a> {
    line: usize,
    kind: TokenKind<'a>,
}

impl Token<'_> {
    /// Returns whether the token may occur between a field's name and its value.
    fn follows_field_name(&self) -> bool {
        matches!(self.kind, TokenKind::Punctuation(':' | '{' | '<'))
    }
}

/// Splits a text into words, quoted strings and punctuation, and skips comments.
struct Lexer<'a> {
    text: &'a str,
    position: usize,
    line: usize,
    tokens: Vec<Token<'a>>,
}

fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_.-+".contains(&byte)
}

impl<'a> Lexer<'a> {
    fn tokenize(text: &'a str) -> Vec<Token<'a>> {
        let mut lexer = Lexer { text, position: 0, line: 1, tokens: Vec::new() };
        while let Some(byte) = lexer.byte_at(lexer.position) {
            match byte {
                b'\n' => lexer.line += 1,
                b'#' => lexer.skip_comment(),
                b'"' | b'\'' => lexer.quoted(byte),
                _ if is_word_byte(byte) => lexer.word(),
                _ if byte.is_ascii_punctuation() => {
                    lexer.push(lexer.line, TokenKind::Punctuation(byte as char));
                }
                _ => {}
            }
            lexer.position += 1;
        }
        lexer.tokens
    }

    fn byte_at(&self, position: usize) -> Option<u8> {
        self.text.as_bytes().get(position).copied()
    }

    fn push(&mut self, line: usize, kind: TokenKind<'a>) {
        self.tokens.push(Token { line, kind });
    }

    /// Skips a comment and stops at the last byte of its line, before the newline.
    fn skip_comment(&mut self) {
        while self.byte_at(self.position + 1).is_some_and(|byte| byte != b'\n') {
            self.position += 1;
        }
    }

    /// Reads a quoted string and stops at its closing quote.
    fn quoted(&mut self, quote: u8) {
        let (start, start_line) = (self.position, self.line);
        self.position += 1;
        while let Some(byte) = self.byte_at(self.position).filter(|byte| *byte != quote) {
            self.line += usize::from(byte == b'\n');
            self.position += 1 + usize::from(byte == b'\\');
        }
        let end = (self.position + 1).min(self.text.len());
        self.push(start_line, TokenKind::Word(&self.text[start..end]));
    }

    /// Reads a word and stops at its last byte.
    fn word(&mut self) {
        let start = self.position;
        while self.byte_at(self.position + 1).is_some_and(is_word_byte) {
            self.position += 1;
        }
        self.push(self.line, TokenKind::Word(&self.text[start..=self.position]));
    }
}

/// Returns the position of the token that names the step's field, in the message that encloses position
/// `from`. `None` if that message has no such field.
fn find_step(tokens: &[Token], from: usize, step: FieldStep) -> Option<usize> {
    let (mut depth, mut occurrences) = (0i32, 0);
    for (position, token) in tokens.iter().enumerate().skip(from) {
        match token.kind {
            TokenKind::Punctuation('{' | '<') => depth += 1,
            TokenKind::Punctuation('}' | '>') => depth -= 1,
            TokenKind::Word(word) if depth == 0 && word == step.name => {
                let is_field_name = tokens.get(position + 1).is_some_and(Token::follows_field_name);
                if is_field_name && occurrences == step.index {
                    return Some(position);
                }
                occurrences += usize::from(is_field_name);
            }
            _ => {}
        }
        if depth < 0 {
            return None;
        }
    }
    None
}

/// Returns the line of a field, or of the nearest enclosing message that is present. Returns 1 if none is
/// present.
pub(crate) fn line_of(text: &str, path: &[FieldStep]) -> usize {
    let tokens = Lexer::tokenize(text);
    let (mut position, mut line) = (0, 1);
    for &step in path {
        let Some(found) = find_step(&tokens, position, step) else { break };
        line = tokens[found].line;
        // Skips the opening of the message; the next step is searched for inside it.
        position = found + 1;
        while tokens.get(position).is_some_and(Token::follows_field_name) {
            position += 1;
        }
    }
    line
}

#[cfg(test)]
mod tests;
