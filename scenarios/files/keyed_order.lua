-- Guards against not_run for an order that another instance can still send, because the endpoints check keys.
dofile("lib_small_site.lua")
record("service", "keyed", 1, [[{"kind": "plain", "default_class": "plan", "checks_keys": true,
    "operations": [{"name": "book", "idempotent": false}]}]])
endpoint { name = "k1", service = "keyed", plain = true, checks_keys = true }
run(9000)
local key = mint { at = "n1", service = "keyed" }
kill("k1")
local refused = order { at = "n1", service = "keyed", operation = "book", key = key }
run(3000)
equal("unknown", outcome(refused), "order that no endpoint took")
kill("n1")
restart("k1")
run(1000)
local resent = order { at = "n2", service = "keyed", operation = "book", key = key }
run(15000)
equal("completed", outcome(resent), "order sent by another instance")
local again = order { at = "n3", service = "keyed", operation = "book", key = key }
run(15000)
equal("completed", outcome(again), "order sent once more")
equal(1, executions(key), "executions")
