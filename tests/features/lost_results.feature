Feature: a request whose stages lose their results is served all the same

  # Guards against requests that are refused since a stage server has ended with what was
  # made for them, although others can make it again.
  @fixture.route-site.3
  Scenario Outline: results end with their stage server, <left>
    Given <more> more "stage" servers
    And stage servers that take 0.3 s
    When 3 requests with stages come to "<entry>", and the server of their first stage ends during the second
    Then all of them are answered
    And each of their pieces was made at most twice

    Examples:
      | left                             | more | entry   |
      | and its region has others        | 2    | entry-0 |
      | and only other regions have some | 2    | entry-1 |

  # Guards against repeats of stages without end.
  @fixture.route-site.3
  Scenario: stages whose results are lost again and again are made twice at most
    Given 2 more "stage" servers
    When a request with stages comes whose results are always lost
    Then it is refused as not run
    And each of their pieces was made at most twice
