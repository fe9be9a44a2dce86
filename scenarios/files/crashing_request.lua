-- Guards against a request that kills one endpoint after the other, resent by its caller to every instance.
dofile("lib_small_site.lua")
for number = 3, 8 do
    endpoint { name = "e" .. number, service = "plan-writers" }
end
run(3000)
local last
for round = 1, 6 do
    for _, name in ipairs(instances) do
        last = generate { at = name, prompt = "crash on arrival" }
        run(4000)
    end
end
equal("quarantined", kind(last), "the resend after two deaths")
equal("not_run", outcome(last), "the resend after two deaths")
local innocent = generate { at = "n1", prompt = "innocent" }
run(5000)
equal("completed", outcome(innocent), "a request beside it")
