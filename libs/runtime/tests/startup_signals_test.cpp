#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include <parsleyshift/runtime/startup_signals.hpp> // hold_startup_signals

#include <csignal> // raise

using namespace parsleyshift;

TEST_GROUP(startup_signals){void teardown() override{for (const int number
                                                          : {SIGTERM, SIGINT, SIGHUP}){std::signal(number, SIG_DFL);
}
}
}
;

// Guards against a process that is ended by a signal which arrives before its handlers are installed.
TEST(startup_signals, are_held_until_they_are_taken)
{
    hold_startup_signals();
    std::raise(SIGHUP);
    std::raise(SIGHUP);
    CHECK_FALSE(is_stop_held());
    std::raise(SIGTERM);
    CHECK_TRUE(is_stop_held());
    CHECK(take_startup_signals() == (std::vector<int>{SIGTERM, SIGHUP}));
    CHECK_FALSE(is_stop_held());
    CHECK(take_startup_signals().empty());
}
