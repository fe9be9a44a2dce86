-- Guards against doubled orders and lost service while a region is cut off and both sides serve.
dofile("lib_small_site.lua")
endpoint { name = "e4", service = "plan-writers", zone = "garki", region = "abuja" }
run(3000)
local key = mint { at = "n1" }
for _, far in ipairs({ "n1", "n2" }) do
    cut(far, "n3")
    cut("n3", far)
end
cut("n3", "e1")
cut("n3", "e2")
run(20000)
local near = generate { at = "n1", prompt = "near" }
local far = generate { at = "n3", prompt = "far" }
order { at = "n1", key = key, payload = '"ochre"' }
local beyond = order { at = "n3", key = key, payload = '"ochre"' }
run(30000)
equal("completed", outcome(near), "generation in the first region")
equal("completed", outcome(far), "generation in the region that is cut off")
equal("unknown", outcome(beyond), "order whose home is beyond the cut")
equal(1, executions(key), "executions")
heal()
run(30000)
local again = order { at = "n3", key = key, payload = '"ochre"' }
run(5000)
equal("completed", outcome(again), "the same order after the cut")
equal(1, executions(key), "executions")
