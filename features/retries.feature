Feature: Retries stay within the bound of the sheet
  The retries of one request, counted over its whole call tree, stay within
  the bound that the planners set.

  Scenario: The last service of a chain fails and the caller resends
    An article needs its workshop's certificate, and that needs the guide list.
    Given the library fails each call, and the services that call it fail too
    And retries are allowed by now
    When a maker asks for an article 8 times under the same request id
    Then the calls of each service exceed the 8 by at most the sheet's bound
    And the library was tried more than 8 times
