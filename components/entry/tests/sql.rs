//! Classification of SQL statements.

use bergamottrack_entry::sql::{Command, parse, parse_single};

fn is_read(sql: &str) -> bool {
    parse_single(sql) == Command::Read
}

#[test]
fn queries_without_side_effects_are_reads() {
    let reads = [
        "SELECT day FROM booking WHERE id = $1",
        "select count(*), max(day) from booking group by day having count(*) > 2;",
        "-- the round\nSELECT 1 /* of /* today */ 'for update' */",
        "SELECT 'INSERT INTO x', \"update\" FROM t",
        "WITH due AS (SELECT id FROM visit) SELECT * FROM due WHERE id IN ($1, $2)",
        "SELECT $tag$ it's; DELETE $tag$",
        "VALUES (1), (2)",
    ];
    for sql in reads {
        assert!(is_read(sql), "{sql}");
    }
}

/// Guards against a statement that changes data but counts as a read because of its first word.
/// It would be sent to a replica, or be reported as "not run" after it ran.
#[test]
fn statements_that_may_change_data_are_writes() {
    let writes = [
        "SELECT * FROM t FOR UPDATE",
        "SELECT * FROM t FOR/**/SHARE",
        "SELECT 1 INTO copy FROM t",
        "WITH gone AS (DELETE FROM t RETURNING id) SELECT * FROM gone",
        "SELECT nextval('s')",
        "SELECT book_slot($1)",
        "SELECT \"book_slot\"(1)",
        "SELECT mine.lower('x')",
        "EXPLAIN ANALYZE DELETE FROM t",
        "SELECT 1; DELETE FROM t",
        "SELECT 'open",
    ];
    for sql in writes {
        assert!(!is_read(sql), "{sql}");
    }
}

#[test]
fn each_statement_of_a_query_string_is_classified() {
    let sql = "BEGIN; INSERT INTO t VALUES (';'); COMMIT;";
    assert_eq!(parse(sql), [Command::Begin, Command::Write, Command::End("COMMIT")]);
    assert_eq!(parse(" ; -- nothing\n"), [Command::Empty]);
    assert_eq!(parse_single("ROLLBACK TO SAVEPOINT a"), Command::Write);
    assert_eq!(parse_single("abort"), Command::End("ROLLBACK"));
}

#[test]
fn each_spelling_of_a_setting_is_parsed() {
    let set = |name: &str, value: Option<&str>| Command::Set {
        name: name.into(),
        value: value.map(Into::into),
    };
    let cases = [
        ("SET bergamottrack.session = 'a.b'", set("bergamottrack.session", Some("a.b"))),
        ("set session Application_Name to 'x'", set("application_name", Some("x"))),
        ("SET extra_float_digits = 3", set("extra_float_digits", Some("3"))),
        ("SET extra_float_digits = -3", set("extra_float_digits", Some("-3"))),
        ("SET DateStyle = ISO, MDY", set("datestyle", Some("iso, mdy"))),
        ("SET application_name = Van", set("application_name", Some("van"))),
        ("SET application_name = 'Van'", set("application_name", Some("Van"))),
        ("SET TIME ZONE 'UTC'", set("timezone", Some("UTC"))),
        ("SET bergamottrack.max_age TO DEFAULT", set("bergamottrack.max_age", None)),
        ("SET LOCAL work_mem = 1", Command::SetLocal),
        ("SHOW bergamottrack.session", Command::Show("bergamottrack.session".into())),
        ("SHOW TRANSACTION ISOLATION LEVEL", Command::Show("transaction isolation level".into())),
        ("RESET ALL", Command::Reset(None)),
        ("DEALLOCATE PREPARE \"S1\"", Command::Deallocate(Some("S1".into()))),
    ];
    for (sql, expected) in cases {
        assert_eq!(parse_single(sql), expected, "{sql}");
    }
}

/// Guards against session state, such as a temporary table or a lock, that stays on a pooled
/// connection. The caller that created it would lose it, and the next one on the connection
/// would conflict with it.
#[test]
fn statements_with_session_state_are_unsupported() {
    let unsupported = [
        "LISTEN news",
        "COPY t FROM STDIN",
        "DECLARE c CURSOR FOR SELECT 1",
        "PREPARE s AS SELECT 1",
        "CREATE TEMP TABLE t (n INT)",
        "SELECT pg_advisory_lock(1)",
        "SELECT set_config('search_path', 'x', false)",
        "SET ROLE other",
        "COMMIT AND CHAIN",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
    ];
    for sql in unsupported {
        assert!(matches!(parse_single(sql), Command::Unsupported(_)), "{sql}");
    }
    assert_eq!(parse_single("COMMIT AND NO CHAIN"), Command::End("COMMIT"));
    assert_eq!(parse_single("SELECT pg_advisory_xact_lock(1)"), Command::Write);
}

/// Guards against a query string of the greatest length whose tokens occupy many times its memory: each of 16
/// million semicolons or one-letter words.
#[test]
fn query_of_very_many_tokens_is_refused() {
    for text in [";", "a ", "("] {
        let sql = text.repeat((16 << 20) / text.len());
        let commands = parse(&sql);
        assert!(matches!(commands[..], [Command::Unsupported(_)]), "{text}");
    }
}

/// Guards against quoted texts that are read otherwise than by the server: escapes and doubled quotes.
#[test]
fn quotes_and_escapes_end_where_the_server_ends_them() {
    let texts = [
        ("SELECT 'a''b'; COMMIT", 2),
        (r"SELECT E'a\'b'; COMMIT", 2),
        (r"SELECT E'a\\'; COMMIT", 2),
        ("SELECT 'é;'';'; COMMIT", 2),
        ("SELECT \"a;\"\"b\"; COMMIT", 2),
        ("SELECT 'open; COMMIT", 1),
        (r"SELECT E'open\'; COMMIT", 1),
    ];
    for (text, count) in texts {
        assert_eq!(parse(text).len(), count, "{text}");
    }
}
