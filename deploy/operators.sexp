; The operators' file of a deployment: every setting is optional, and `ashtray check --operators FILE` shows them all.
; The values here are the defaults, but for the commented line, which turns the operators' own paths on.
(ashtray
  (keep-estimates yes)  ; learnt run times are kept in the state service: at most one change in a hundred
  ; (operators-token "/etc/ashtray/token")  ; `ashtray estimates`
  (rules trust changes image scarce spot few-groups packing))
