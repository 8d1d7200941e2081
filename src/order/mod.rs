//! Controller lease with fencing, orders to engines, weight-store pacing.
