-- Guards against configuration that goes back or differs: bad write over a good record, stale service, new instance.
dofile("lib_small_site.lua")
record("customer", "club", 2, '{"weight": 3}')
run(9000)
for _, name in ipairs(instances) do
    equal(true, in_force(name, "customer", "club"), "new version at " .. name)
end
local good = records("n2")
stale(true)
record("priority", "extra", 1, '{"level": 1}')
record("customer", "club", 1, '{"weight": "heavy"}')
run(9000)
stale(false)
run(9000)
equal(true, in_force("n3", "priority", "extra"), "change written while the service was stale")
kill("n3")
restart("n3")
run(9000)
equal(records("n1"), records("n3"), "records of a new process")
equal(true, records("n3"):find('"weight":3', 1, true) ~= nil, "last good version at a new process")
withdraw("priority", "extra")
run(9000)
for _, name in ipairs(instances) do
    equal(true, in_force(name, "priority", "extra"), "withdrawal at " .. name)
end
