"""HTML and number formatting shared by `bramblebeam report` and the lab's reports."""
