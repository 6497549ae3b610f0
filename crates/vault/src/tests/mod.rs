mod disk;
mod sim;
