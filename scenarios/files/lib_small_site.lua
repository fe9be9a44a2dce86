-- A small site: three instances in two regions, two engines and two plain endpoints in the first region.
record("fleet", "fleet", 1, '{"entry_slots": 3, "shard_size": 2}')
record("priority", "plan", 2, '{"level": 0, "lane": "shared"}')
record("customer", "club", 1, '{"weight": 1}')
record("service", "plan-writers", 1, '{"kind": "engine", "default_class": "plan", "models": []}')
record("service", "yard-desk", 1, [[{"kind": "plain", "default_class": "plan",
    "operations": [{"name": "paint_order", "idempotent": false}, {"name": "lookup"}]}]])

instance { name = "n1", zone = "ikeja", slot = 0 }
instance { name = "n2", zone = "apapa", slot = 1 }
instance { name = "n3", zone = "garki", region = "abuja", slot = 2 }
endpoint { name = "e1", service = "plan-writers" }
endpoint { name = "e2", service = "plan-writers", zone = "apapa" }
endpoint { name = "y1", service = "yard-desk", plain = true }
endpoint { name = "y2", service = "yard-desk", plain = true, zone = "apapa" }
run(12000)

function equal(expected, actual, what)
    if expected ~= actual then
        error(what .. ": expected " .. tostring(expected) .. ", got " .. tostring(actual), 2)
    end
end

instances = { "n1", "n2", "n3" }
