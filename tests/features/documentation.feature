Feature: the pages and the code agree

  Scenario: docs/DOCUMENT.md lists each field of the document and no other
    Then each record of the document has its table there, with the same fields
    And the defaults that it states are those of the code

  Scenario: docs/CALLERS.md lists each failure that a caller can be told
    Then each failure has a row there, with the status that a refusal has

  Scenario: docs/OPERATIONS.md lists the exit codes and the metrics
    Then its exit codes are those of the two programs
    And its metrics are those that the code sends
    And its metrics as text are those that an entry serves

  Scenario: links between pages lead somewhere
    Then each relative link in a page names a file
