Feature: Job-sheet work is shed last
  When more work arrives than an upstream can do, work that only serves other
  work is refused before the work that a crew waits for.

  Scenario: All crews and many applications ask at once
    Given templates have 4 slots and each lookup takes 100 ms
    When 40 applications ask for template facts and 16 crews search templates at once
    Then every search is answered whole
    And some lookups of applications were refused as overloaded
    And no refused lookup ran
