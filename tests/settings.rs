//! Settings of a caller's session: token, maximum age, deadline and settings sent by drivers.

use lab::system::{self, Plan, System};
use tokio_postgres::{Client, error::SqlState};

async fn start() -> (System, Client) {
    let system = System::start(Plan::default()).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id INTEGER)").await.unwrap();
    (system, client)
}

async fn show(client: &Client, name: &str) -> String {
    system::rows(client, &format!("SHOW {name}")).await.unwrap().remove(0)
}

/// Returns the SQLSTATE and the detail of the error of a statement.
async fn refusal(client: &Client, sql: &str) -> (String, String) {
    let error = client.simple_query(sql).await.unwrap_err();
    code_and_detail(&error)
}

fn code_and_detail(error: &tokio_postgres::Error) -> (String, String) {
    let code = error.code().map_or("none", SqlState::code).to_owned();
    let detail = error.as_db_error().and_then(|e| e.detail()).unwrap_or_default();
    (code, detail.to_owned())
}

fn not_run(code: &str) -> (String, String) {
    (code.to_owned(), "not run".to_owned())
}

#[tokio::test]
async fn session_token_is_accepted_by_other_hosts() {
    let (system, client) = start().await;
    client.simple_query("INSERT INTO visit VALUES (1)").await.unwrap();
    let token = show(&client, "bergamottrack.session").await;
    assert!(!token.is_empty());

    let other = system.connect(1, "baobab", "g1").await.unwrap();
    assert_eq!(show(&other, "bergamottrack.session").await, "");
    other.batch_execute(&format!("SET bergamottrack.session = '{token}'")).await.unwrap();
    assert_eq!(show(&other, "bergamottrack.session").await, token);
    assert_eq!(system::rows(&other, "SELECT id FROM visit").await.unwrap(), ["1"]);

    let mut config = system.caller(2, "baobab", "g1");
    config.options(format!("-c bergamottrack.session={token}"));
    let third = system::connect(&config).await.unwrap();
    assert_eq!(show(&third, "bergamottrack.session").await, token);
}

/// A caller presents a forged token, or one issued to another account. If it were accepted,
/// it would reveal to one account what another one has seen.
#[tokio::test]
async fn token_not_issued_to_the_account_is_refused() {
    let (system, client) = start().await;
    let token = show(&client, "bergamottrack.session").await;
    let set = |token: &str| format!("SET bergamottrack.session = '{token}'");
    assert_eq!(refusal(&client, &set("nonsense")).await, not_run("22023"));
    let forged = token.replacen("g1=", "g1=9", 1);
    assert_ne!(forged, token);
    assert_eq!(refusal(&client, &set(&forged)).await, not_run("42501"));
    let other = system.connect(0, "hartwell", "g1").await.unwrap();
    assert_eq!(refusal(&other, &set(&token)).await, not_run("42501"));
    let mut config = system.caller(0, "hartwell", "g1");
    config.options(format!("-c bergamottrack.session={token}"));
    let Err(error) = config.connect(tokio_postgres::NoTls).await else {
        panic!("the token was accepted")
    };
    assert_eq!(code_and_detail(&error), not_run("42501"));
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn proxy_settings_are_validated_and_shown() {
    let (_system, client) = start().await;
    let cases = [
        ("bergamottrack.max_age", "2s", "2000ms"),
        ("bergamottrack.max_age", "0", "0ms"),
        ("bergamottrack.deadline", "1500", "1500ms"),
        ("bergamottrack.request", "hold-17", "hold-17"),
    ];
    for (name, value, shown) in cases {
        client.batch_execute(&format!("SET {name} = '{value}'")).await.unwrap();
        assert_eq!(show(&client, name).await, shown, "{name}");
    }
    let wrong = [
        "SET bergamottrack.max_age = 'soon'",
        "SET bergamottrack.max_age = '-1'",
        "SET bergamottrack.deadline = 0",
        "SET bergamottrack.deadline = '1000s'",
        "SET bergamottrack.request = 'not a name'",
        "SET statement_timeout = 'never'",
    ];
    for sql in wrong {
        assert_eq!(refusal(&client, sql).await, not_run("22023"), "{sql}");
    }
    assert_eq!(refusal(&client, "SET bergamottrack.nothing = 1").await, not_run("42704"));
    client.batch_execute("RESET ALL").await.unwrap();
    assert_eq!(show(&client, "bergamottrack.max_age").await, "");
}

#[tokio::test]
async fn startup_settings_of_drivers_are_answered() {
    let (system, _client) = start().await;
    let mut config = system.caller(0, "baobab", "g1");
    config.application_name("van 3").options("-c extra_float_digits=3 --statement-timeout=4000");
    let client = system::connect(&config).await.unwrap();
    assert_eq!(show(&client, "application_name").await, "van 3");
    assert_eq!(show(&client, "statement_timeout").await, "4000ms");
    let settings = "SET application_name = 'x'; SET client_encoding TO 'utf-8'; \
        SET SESSION TIME ZONE 'UTC'; SET DateStyle = ISO; SET NAMES 'UTF8'";
    client.batch_execute(settings).await.unwrap();
    // Sent as a prepared statement, as some drivers do.
    client.execute("SET extra_float_digits = 3", &[]).await.unwrap();
    let level = client.query_one("SHOW TRANSACTION ISOLATION LEVEL", &[]).await.unwrap();
    assert_eq!(level.get::<_, &str>(0), "read committed");
    assert_eq!(show(&client, "client_encoding").await, "UTF8");
    for sql in ["DISCARD ALL", "UNLISTEN *", "DEALLOCATE ALL", "RESET application_name"] {
        client.batch_execute(sql).await.unwrap();
    }
}

/// A caller sets session state that a pooled connection would lose or expose to the next
/// caller. The statement is refused and reported as not run.
#[tokio::test]
async fn unsupported_session_state_is_refused() {
    let (_system, client) = start().await;
    let refused = [
        "SET search_path = other",
        "SET work_mem = '64MB'",
        "SET client_encoding = 'LATIN1'",
        "LISTEN news",
        "CREATE TEMP TABLE t (n INTEGER)",
        "SELECT pg_advisory_lock(1)",
        "PREPARE s AS SELECT 1",
        "COPY visit FROM STDIN",
        "COPY visit TO STDOUT",
        "DECLARE c CURSOR FOR SELECT 1",
        "COMMIT; BEGIN",
        "SET application_name = 'x'; SELECT 1",
    ];
    for sql in refused {
        assert_eq!(refusal(&client, sql).await, not_run("0A000"), "{sql}");
        let prepared = client.prepare(sql).await;
        assert!(prepared.is_err() || sql.starts_with("SET"), "{sql}");
    }
    client.simple_query("SELECT 1").await.unwrap();
}

/// A refused statement within a transaction fails the transaction, as any error does.
#[tokio::test]
async fn refused_statement_fails_its_transaction() {
    let (_system, client) = start().await;
    client.batch_execute("BEGIN; INSERT INTO visit VALUES (1)").await.unwrap();
    assert_eq!(refusal(&client, "LISTEN news").await, not_run("0A000"));
    assert_eq!(refusal(&client, "INSERT INTO visit VALUES (2)").await, not_run("25P02"));
    client.batch_execute("COMMIT").await.unwrap();
    assert!(system::rows(&client, "SELECT id FROM visit").await.unwrap().is_empty());
    // No transaction is open any more, which gives only a notice, as on any server.
    client.batch_execute("COMMIT").await.unwrap();
    client.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(refusal(&client, "SET LOCAL statement_timeout = 5").await, not_run("25P01"));
    client.batch_execute("BEGIN; SET LOCAL statement_timeout = 5; COMMIT").await.unwrap();
}
