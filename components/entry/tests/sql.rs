//! What statements are taken for.

use bergamottrack_entry::sql::{Command, parse, parse_single};

fn is_read(sql: &str) -> bool {
    parse_single(sql) == Command::Read
}

#[test]
fn plain_queries_are_reads() {
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

/// A statement that changes something is sent to a replica, or is told as "not
/// run" after it ran, because its first word looks like a read.
#[test]
fn whatever_may_change_something_is_a_write() {
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
fn a_text_of_several_statements_is_read_one_by_one() {
    let sql = "BEGIN; INSERT INTO t VALUES (';'); COMMIT;";
    assert_eq!(parse(sql), [Command::Begin, Command::Write, Command::End("COMMIT")]);
    assert_eq!(parse(" ; -- nothing\n"), [Command::Empty]);
    assert_eq!(parse_single("ROLLBACK TO SAVEPOINT a"), Command::Write);
    assert_eq!(parse_single("abort"), Command::End("ROLLBACK"));
}

#[test]
fn settings_are_read_in_each_way_of_writing() {
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
    for (sql, wanted) in cases {
        assert_eq!(parse_single(sql), wanted, "{sql}");
    }
}

/// A caller's temporary table or lock stays on a pooled connection: gone for
/// that caller, and in the way of the next one who gets the connection.
#[test]
fn state_of_a_server_session_is_not_carried() {
    let refused = [
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
    for sql in refused {
        assert!(matches!(parse_single(sql), Command::Unsupported(_)), "{sql}");
    }
    assert_eq!(parse_single("COMMIT AND NO CHAIN"), Command::End("COMMIT"));
    assert_eq!(parse_single("SELECT pg_advisory_xact_lock(1)"), Command::Write);
}
