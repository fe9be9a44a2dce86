-- Guards against a call that kills one endpoint of a plain service after the other, resent to every instance.
dofile("lib_small_site.lua")
for number = 3, 8 do
    endpoint { name = "y" .. number, service = "yard-desk", plain = true }
end
run(3000)
local last
for round = 1, 4 do
    for _, name in ipairs(instances) do
        last = call { at = name, payload = '"crash"' }
        run(15000)
    end
end
equal("quarantined", kind(last), "the resend after two deaths")
