-- Guards against a link that dies in one direction: the stream resumes or ends with the truth, never with a gap.
dofile("lib_small_site.lua")
local stream = generate { at = "n1", prompt = "field*300" }
run(1000)
cut("e1", "n1")
cut("e2", "n1")
run(4000)
heal()
run(30000)
equal("completed", outcome(stream), "stream after the link is back")
equal(300, tokens(stream), "its tokens")
