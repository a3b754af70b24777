"""The pool: owns back-end connections and runs statements on them."""
