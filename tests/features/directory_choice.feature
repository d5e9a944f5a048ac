Feature: the directory lists a stable share of the entries of a region
  The load: 300 entries of very different size before thousands of callers that fetch
  addresses every second. With a new sample in each answer, callers connect anew all the
  time, and the smallest entries get as many connections as the largest.

  Scenario: with one region the answer is the sample that it was
    Given 100 entries of equal capacity
    Then without regions an answer is what a random sample of 64 gives

  Scenario: few entries are all listed
    Given 40 entries of equal capacity
    Then every caller is named all 40

  Scenario: an answer stays the same, and callers differ
    Given 300 entries of equal capacity
    Then a caller is named the same 64 entries however the entries are ordered
    And 50 callers are named almost all entries together

  Scenario: an entry that goes changes one address
    Given 300 entries of equal capacity
    Then without one of its entries a caller is named 63 of the same and one more

  Scenario: entries are listed by their capacity
    Given 100 entries of capacity 0.25 and 100 of capacity 1
    Then over 2000 callers the larger are named first 3.2 to 4.8 times as often
    And the larger stand in more answers

  Scenario Outline: a capacity that makes no sense does not break an answer
    Guards against a record of another entry that stops the directory.

    Given 70 entries of equal capacity and one of "<capacity>"
    Then every caller is named 64 entries

    Examples:
      | capacity |
      | 0        |
      | -1       |
      | nan      |
      | inf      |

  Scenario: the directory answers by caller address and region
    Given a directory of an entry in several regions with 100 entries in each
    Then a caller from "10.0.0.1" in "near" is named 64 entries of "near" each time
    And a caller from "10.0.0.2" in "near" is named others
    When the entries of "near" are gone
    Then a caller from "10.0.0.1" in "near" is named 64 entries of "far" each time
