Feature: The planning sheet
  An accepted planning sheet is in force and never reverts.

  Background:
    Given the sheet of the morning is in force as version 1

  Scenario: A planner's bad sheet changes nothing
    When Ana submits a sheet that lets a deposit run twice, expecting version 1
    Then Ana is told the line, the field, what was expected and what was found
    And version 1 is in force

  Scenario: A planner sees all problems of a sheet at once
    When Ana checks a sheet with a misspelt class and a bound of 012
    Then Ana is told of 2 problems

  Scenario: An amendment replaces the sheet of the morning
    When Ana submits a sheet with a retry bound of 4, expecting version 1
    Then Ana's sheet is accepted as version 2
    And version 2 is in force

  Scenario: Two operators race
    When Ana and Ben both submit amendments, expecting version 1
    Then exactly one of them is accepted as version 2
    And the other is told the winner's name and the fields that differ

  Scenario: An older sheet does not come back
    Given Ben's amendment is in force as version 2
    When Ana submits a sheet with a retry bound of 4, expecting version 1
    Then Ana is told that version 2 of Ben won
    And version 2 is in force

  Scenario: The table's answer is lost
    Given the table loses its next answer
    When Ana submits a sheet with a retry bound of 4, expecting version 1
    Then Ana's sheet is accepted as version 2
    And the sheet was written once
