Feature: streams are passed on in whole events

  Scenario Outline: events come once and in order, whoever sends them
    Given a caller that has the events up to <last>
    When the parts "<parts>" come
    Then the events "<events>" are passed on, and the stream <end>

    Examples:
      | last | parts                  | events  | end                        |
      | none | 1, 2, 3                | 1, 2, 3 | ends whole                 |
      | none | 1, half 2, rest 2      | 1, 2    | ends whole                 |
      | none | 1, half 2              | 1       | ends with half an event    |
      | none | 1, half 2, break, 2, 3 | 1, 2, 3 | ends whole                 |
      | none | 1, 2, break, 2, 3      | 1, 2, 3 | ends whole                 |
      | none | 1, 3                   | 1       | breaks at a gap            |
      | 4    | 5, 6                   | 5, 6    | ends whole                 |
      | 4    | 4, 5                   | 5       | ends whole                 |
      | 4    | 6                      |         | breaks at a gap            |

  # Guards against a long event that occupies the processor because each read joins all
  # parts received before.
  Scenario: an event that comes in small parts is held once
    When 1000000 bytes of an event come in parts of 4096 bytes
    Then at most 1500000 bytes were held at once

  # Guards against a stream without end that takes the processor until its deadline.
  Scenario Outline: a stream of <events> without end breaks at its bound
    Given a caller that has the events up to 100
    When <events> come without end
    Then the stream breaks at the bound "<bound>"

    Examples:
      | events             | bound                  |
      | blank events       | 4096 empty events      |
      | comments           | 4096 empty events      |
      | duplicate events   | 16384 duplicate events |
      | new events         | 65536 events           |
      | unnumbered events  | 65536 events           |

  Scenario: the duplicates of a stream that broke don't count against the next server
    Given a caller that has the events up to 100
    When 16384 duplicate events come from each of three servers
    Then the stream has not broken

  Scenario: however a stream is cut into parts, its events are the same
    Then any parts of a stream give the events that it gives as a whole
