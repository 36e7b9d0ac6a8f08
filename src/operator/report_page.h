/* The HTML page that shows the report on error budgets, with its styles and
   scripts. */
#ifndef OPERATOR_REPORT_PAGE_H
#define OPERATOR_REPORT_PAGE_H

extern const char opr_report_page[];

#endif
