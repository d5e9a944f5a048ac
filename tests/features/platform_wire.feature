Feature: the platform's forms are translated at one place

  Scenario Outline: headers that are the system's or of one connection are not passed on
    When a caller sends the header "<header>" with "<value>"
    Then the server's call does not carry "<value>"

    Examples:
      | header            | value           |
      | Authorization     | Bearer secret-1 |
      | Tenant            | somebody-else   |
      | Expect-Instance   | i-forged        |
      | Expect-Version    | 77123           |
      | Request-Priority  | 77124           |
      | Inputs            | 10.9.9.9:1/77   |
      | Hold              | h-77            |
      | Pin-Ms            | 77125           |
      | Kv-Backup         | 10.9.9.9:77     |
      | Kv-From           | 10.9.9.9:78/x   |
      | Kv-Fetch          | 10.9.9.9:79     |
      | Keep-Alive        | timeout=77      |
      | Proxy-Connection  | kept-77         |
      | Te                | trailers-77     |

  Scenario: a header that the caller's connection names is not passed on
    When a caller sends the header "Connection" with "close, X-Own"
    And the header "X-Own" with "mine-77"
    Then the server's call does not carry "mine-77"

  Scenario: all else is passed on, with what the system says
    When a caller sends the header "Prompt-Prefix" with "aa:800,bb:410,cc:250"
    Then the server's call carries "Prompt-Prefix: aa:800,bb:410,cc:250"
    And it carries "Expect-Instance: i-1" and "Tenant: account" and "Deadline-Ms: 750"
    And it carries "Inputs: h1,h2" and "Last-Event-Id: 12" and "Host: A.example:80"
    And the prompt's parts are "aa 800, bb 410, cc 250"

  Scenario Outline: a request that can't be read is refused, never passed on
    When a caller sends the header "<header>" with "<value>"
    Then the request is malformed

    Examples:
      | header        | value     |
      | Request-Id    |           |
      | Deadline-Ms   | soon      |
      | Last-Event-Id | first     |
      | Pieces        | 1,-2      |
      | Pieces        | 9999999   |
      | Prompt-Prefix | aa        |

  Scenario Outline: what an answer says of whether it ran
    When a server answers <status> with "<header>"
    Then the request "<claim>"

    Examples:
      | status | header                 | claim        |
      | 200    | Server-Seal: s         | RAN          |
      | 500    | Server-Seal: s         | RAN          |
      | 503    | Not-Run: 1             | NOT_RUN      |
      | 503    | Server-Seal: s         | RAN          |
      | 400    | Not-Run: 1             | NOT_RUN      |
      | 421    | Instance-Id: i-2       | OTHER_SERVER |

  Scenario: the published configuration is decoded, and unknown fields are left alone
    Given a published configuration with fields that nobody knows
    Then its routes, services, accounts and limits are those of the text
    And no key stands in what it prints
    And a text that is no configuration is a failure

  Scenario: names of the platform stand in its folder alone
    Then no module outside of "platform" names a header, call or field of the wire

  # Guards against an answer of an engine that ends the thread that reads it, or that
  # counts as a list without parts.
  Scenario Outline: what an engine has cached is read from its list: <list>
    When an engine lists "<list>" as cached
    Then it has cached "<parts>"

    Examples:
      | list                                      | parts      |
      | {"held":[]}                               |            |
      | {"held":[["","a",5,"m"],["","b",1,"m"]]}  | a 5, b 1   |
      | {"held":[["","a",5,"m"],["","a",7,"m2"]]} | a 7        |
      | {"epoch":1,"held":[["","a",5,"m"]]}       | a 5        |
      | {}                                        | unreadable |
      | {"held":"a"}                              | unreadable |
      | {"held":[["","a","5","m"]]}               | unreadable |
      | {"held":[["","a",5]]}                     | unreadable |
      | [nested]                                  | unreadable |
      | no list                                   | unreadable |
