"""Parts of pages and tables that the product's reports and the lab's share."""
