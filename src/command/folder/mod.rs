mod item;
mod place;
mod read;
mod value;

pub(super) use item::Item;
pub(super) use place::fault;
pub(super) use read::read;
