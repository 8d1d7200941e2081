mod item;
mod location;
mod read;
mod value;

pub(super) use item::Item;
pub(super) use location::describe_error;
pub(super) use read::read;
