-- Guards against lost requests when every instance is replaced, one after the other, by planned stops.
dofile("lib_small_site.lua")
for _, name in ipairs(instances) do
    local stream = generate { at = name, prompt = name .. "*200" }
    run(500)
    plan_stop(name)
    run(15000)
    equal("completed", outcome(stream), "stream at " .. name)
    equal(true, stopped(name), name .. " has stopped")
    kill(name)
    restart(name)
    run(9000)
    local after = generate { at = name, prompt = "after" }
    run(5000)
    equal("completed", outcome(after), "request at the new " .. name)
end
