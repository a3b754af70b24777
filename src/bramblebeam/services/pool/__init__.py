"""The pool service: owns back-end connections and runs statements on them."""
