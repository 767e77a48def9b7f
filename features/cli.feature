Feature: The command line
  Exit codes tell success, a failed request, invalid usage or input, an
  unreachable daemon and a conflict apart.

  Scenario: An operator works with the catalogue
    Given a system of processes
    Then these commands give these exit codes and this output
      | command                                          | code | output     |
      | catalogue list adapter                           | 0    | adapter-0  |
      | catalogue list adapter --json                    | 0    | "revision" |
      | catalogue get adapter adapter-0                  | 0    | "owner"    |
      | catalogue get adapter nothing                    | 1    | not_found  |
      | catalogue apply adapter new --file=GOOD          | 0    | new        |
      | catalogue apply adapter new --file=GOOD --if_revision=1 | 4 | conflict |
      | catalogue apply adapter new --file=BAD           | 1    | bad_message |
      | catalogue apply adapter new --file=/nowhere      | 2    | input      |
      | catalogue delete pool sastre-llm                 | 4    | uses it    |
      | catalogue delete adapter new                     | 0    | new        |
      | catalogue load --file=LINES                      | 0    | 3          |
      | where model adapter-0 --token=tahi-token         | 0    | 127.0.0.1  |
      | call adapter-0 hello --token=tahi-token          | 0    |            |
      | call adapter-1 hello --token=tahi-token          | 1    | not_found  |
      | member tokens tahi                               | 0    | 0395beaf29f138ec9bd823a5371bfbd178f26dd8e338b780eaa0ca5524aa3c2f |
      | member rotate tahi                               | 0    | TOKEN_SHA256 |
      | member revoke tahi 0395beaf29f138ec9bd823a5371bfbd178f26dd8e338b780eaa0ca5524aa3c2f | 0 | REVOKED |
      | call adapter-0 hello --token=tahi-token          | 1    | unauthenticated |
      | member revoke tahi 0395beaf29f138ec9bd823a5371bfbd178f26dd8e338b780eaa0ca5524aa3c2f | 1 | does not hold |
      | member rotate nobody                             | 1    | not_found |
      | member rotate                                    | 2    | Usage     |
      | catalogue history                                | 0    | delete     |
      | status                                           | 0    | runner-0   |
      | status --json                                    | 0    | "replicas" |
      | metrics                                          | 0    | NAME       |
      | catalogue list adapter --token=wrong             | 1    | unauthenticated |
      | form                                             | 4    | conflict   |
      | nonsense                                         | 2    | Usage      |
      | catalogue list                                   | 2    | Usage      |
      | status --addresses=127.0.0.1:1                   | 3    | not_sent   |
      | check-settings SETTINGS                          | 0    | is valid   |
      | check-settings /nowhere                          | 2    | can't be read |
      | explain-settings                                 | 0    | lease_s    |
