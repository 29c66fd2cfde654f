//! Tests of the claims of idempotency keys, which make each key run at most once.

mod check;
mod differential;
mod model;
mod promises;
mod shared;
