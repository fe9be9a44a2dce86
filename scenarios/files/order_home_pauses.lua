-- Guards against an order that runs twice, or after its caller was told when it is settled, because its home paused
-- before the send and woke late.
dofile("lib_small_site.lua")
local key = mint { at = "n1" }
pause("n1")
local first = order { at = "n2", key = key, payload = '"lime"' }
local second = order { at = "n3", key = key, payload = '"lime"' }
run(40000)
equal("unknown", outcome(first), "order while its home is paused")
equal("unknown", outcome(second), "resend while its home is paused")
wake("n1")
run(20000)
equal(0, executions(key), "sends after the send window")
