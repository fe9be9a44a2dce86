-- Guards against streams that are cut and requests that are lost when the instance that schedules the pool dies.
dofile("lib_small_site.lua")
local streams = {}
for _, name in ipairs(instances) do
    streams[#streams + 1] = { at = name, id = generate { at = name, prompt = name .. "*400" } }
end
run(1000)
for _, victim in ipairs({ "n1", "n2" }) do
    kill(victim)
    local during = generate { at = "n3", prompt = "during " .. victim }
    run(10000)
    equal("completed", outcome(during), "request after the death of " .. victim)
    restart(victim)
    run(10000)
end
equal("completed", outcome(streams[3].id), "stream at the instance that stayed")
equal(400, tokens(streams[3].id), "its tokens")
