-- Guards against a doubled order when its home dies after the send and a new process takes its name.
dofile("lib_small_site.lua")
slow("y1", 100)
slow("y2", 100)
local key = mint { at = "n1" }
order { at = "n1", key = key, payload = '"chalk"' }
run(20)
kill("n1")
run(500)
restart("n1")
run(8000)
local resent = {}
for _, name in ipairs(instances) do
    resent[name] = order { at = name, key = key, payload = '"chalk"' }
end
run(20000)
equal(1, executions(key), "executions")
for _, name in ipairs(instances) do
    equal("unknown", outcome(resent[name]), "resend at " .. name)
end
