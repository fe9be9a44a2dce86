-- Guards against a stream that its first instance cancels at the engine after its caller has resumed it elsewhere.
dofile("lib_small_site.lua")
local stream = generate { at = "n1", prompt = "season*2500" }
run(1000)
resume(stream, "n3")
run(70000)
equal("completed", outcome(stream), "stream resumed at another instance")
equal(2500, tokens(stream), "its tokens")
