-- Guards against new work at an endpoint that leaves, while the platform's list lags by ten seconds.
dofile("lib_small_site.lua")
list_lag(10000)
local running = generate { at = "n1", prompt = "running*300" }
run(300)
leave("e1")
leave("e2")
endpoint { name = "e3", service = "plan-writers" }
for round = 1, 20 do
    for _, name in ipairs(instances) do
        generate { at = name, prompt = "short " .. round .. " " .. name .. "*5" }
    end
    run(500)
end
run(20000)
equal("completed", outcome(running), "work that ran before the endpoint left")
