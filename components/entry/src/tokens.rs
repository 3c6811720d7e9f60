//! Tokenizer for SQL statements, which skips comments and recognizes string constants.

/// Token of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Token {
    /// Keyword, number, parameter or unquoted name, in upper case.
    Word(Box<str>),
    /// Quoted name, without its quotes and in its original case.
    Name(Box<str>),
    /// String constant, without its quotes.
    Text(Box<str>),
    /// Any other character.
    Symbol(char),
}

impl Token {
    /// Returns the text of a word, or `None` for other tokens.
    pub fn word(&self) -> Option<&str> {
        match self {
            Self::Word(word) => Some(word),
            _ => None,
        }
    }
}

/// Maximum number of tokens of a query string. Each occupies up to 60 times the memory of its character.
pub const MAX_TOKENS: usize = 500_000;

/// Reason why a query string is not split.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SplitError {
    /// A quote or comment is not terminated; the server refuses such a string.
    Unterminated,
    /// The string has more than [`MAX_TOKENS`] tokens.
    TooLong,
}

/// Splits a query string into the tokens of each statement, without empty statements.
pub fn split_statements(sql: &str) -> Result<Vec<Vec<Token>>, SplitError> {
    let mut lexer = Lexer { rest: sql };
    let (mut all, mut statement) = (Vec::new(), Vec::new());
    let mut count = 0;
    while let Some(token) = lexer.next().ok_or(SplitError::Unterminated)? {
        count += 1;
        if count > MAX_TOKENS {
            return Err(SplitError::TooLong);
        }
        match token {
            Token::Symbol(';') if statement.is_empty() => {}
            Token::Symbol(';') => all.push(std::mem::take(&mut statement)),
            token => statement.push(token),
        }
    }
    if !statement.is_empty() {
        all.push(statement);
    }
    Ok(all)
}

struct Lexer<'a> {
    rest: &'a str,
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_' || c == '$' || !c.is_ascii()
}

impl Lexer<'_> {
    /// Returns the next token, `Some(None)` at the end, or `None` if a quote or comment is not
    /// terminated.
    #[allow(clippy::option_option)]
    fn next(&mut self) -> Option<Option<Token>> {
        loop {
            self.rest = self.rest.trim_start();
            if let Some(comment) = self.rest.strip_prefix("--") {
                self.rest = comment.split_once('\n').map_or("", |(_, rest)| rest);
            } else if self.rest.starts_with("/*") {
                self.skip_comment()?;
            } else {
                break;
            }
        }
        let Some(first) = self.rest.chars().next() else { return Some(None) };
        let token = match first {
            '\'' => Token::Text(self.quoted('\'', false)?),
            '"' => Token::Name(self.quoted('"', false)?),
            'e' | 'E' if self.rest[1..].starts_with('\'') => {
                self.rest = &self.rest[1..];
                Token::Text(self.quoted('\'', true)?)
            }
            '$' => self.parameter_or_literal()?,
            c if is_word_char(c) => self.word(),
            c => {
                self.rest = &self.rest[c.len_utf8()..];
                Token::Symbol(c)
            }
        };
        Some(Some(token))
    }

    /// Skips a block comment, which may be nested.
    fn skip_comment(&mut self) -> Option<()> {
        let mut depth = 0;
        loop {
            if let Some(rest) = self.rest.strip_prefix("/*") {
                (self.rest, depth) = (rest, depth + 1);
            } else if let Some(rest) = self.rest.strip_prefix("*/") {
                (self.rest, depth) = (rest, depth - 1);
            } else {
                let first = self.rest.chars().next()?;
                self.rest = &self.rest[first.len_utf8()..];
            }
            if depth == 0 {
                return Some(());
            }
        }
    }

    fn quoted(&mut self, quote: char, escapes: bool) -> Option<Box<str>> {
        let mut text = String::new();
        let mut rest = &self.rest[1..];
        loop {
            let escape = if escapes { b'\\' } else { quote as u8 };
            let at = memchr::memchr2(quote as u8, escape, rest.as_bytes())?;
            text.push_str(&rest[..at]);
            let (special, after) = rest[at..].split_at(1);
            let next = after.chars().next();
            if special == "\\" || next == Some(quote) {
                text.push(next?);
                rest = &after[next?.len_utf8()..];
            } else {
                self.rest = after;
                return Some(text.into());
            }
        }
    }

    /// Reads a parameter such as `$1`, or a dollar-quoted constant such as `$tag$text$tag$`.
    fn parameter_or_literal(&mut self) -> Option<Token> {
        let tag_len = self.rest[1..].find(|c: char| c == '$' || !is_word_char(c));
        let tag = tag_len.and_then(|len| self.rest.get(..len + 2)).filter(|t| t.ends_with('$'));
        match tag {
            Some(tag) if !tag[1..].starts_with(|c: char| c.is_ascii_digit()) => {
                let body = &self.rest[tag.len()..];
                let (text, rest) = body.split_once(tag)?;
                self.rest = rest;
                Some(Token::Text(text.into()))
            }
            _ => Some(self.word()),
        }
    }

    fn word(&mut self) -> Token {
        let end = self.rest.find(|c| !is_word_char(c)).unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest;
        Token::Word(word.to_uppercase().into())
    }
}
