#include <parsleyshift/test_support/property.hpp> // TEST_GROUP, CHECK

#include "loopback.hpp" // scripted_server

#include <parsleyshift/forwarding/store_reader.hpp> // store_reader

#include <atomic>      // atomic
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move
#include <variant>     // holds_alternative
#include <vector>      // vector

using namespace parsleyshift;
using namespace parsleyshift::test_support;

namespace
{

/// A store without items.
class empty_store_protocol
{
  public:
    [[nodiscard]] std::string list_target(std::string_view /*after_key*/) const
    {
        return "/list";
    }
    [[nodiscard]] std::string watch_target(revision /*after*/, duration /*wait*/) const
    {
        return "/watch";
    }
    [[nodiscard]] result<store_page> read_page(std::string_view /*body*/) const
    {
        store_page page;
        page.at_revision = revision{1};
        return page;
    }
    [[nodiscard]] result<store_changes> read_changes(std::string_view /*body*/) const
    {
        store_changes changes;
        changes.at_revision = revision{1};
        return changes;
    }
    [[nodiscard]] result<source_era> read_era(const response_head& /*head*/) const
    {
        return source_era{1};
    }
    [[nodiscard]] bool is_history_dropped(unsigned status) const
    {
        return status == 410;
    }
    [[nodiscard]] result<store_entry> read_item(const store_item& /*item*/) const
    {
        return store_entry{};
    }
};

/// A store with one item that cannot be decoded and is written again after each watch.
class odd_store_protocol : public empty_store_protocol
{
  public:
    [[nodiscard]] result<store_page> read_page(std::string_view /*body*/) const
    {
        return store_page{{odd_item(1)}, false, revision{1}, source_era{1}};
    }
    [[nodiscard]] result<store_changes> read_changes(std::string_view /*body*/) const
    {
        const store_item changed = odd_item(++revision_);
        return store_changes{{{changed.key, changed.value, changed.changed}}, changed.changed, source_era{1}};
    }
    [[nodiscard]] result<store_entry> read_item(const store_item& /*item*/) const
    {
        return make_error(error_kind::invalid_field, "id: is odd");
    }

  private:
    static store_item odd_item(std::uint64_t number)
    {
        return {"endpoints/i-1\r\n", std::to_string(number), revision{number}};
    }

    mutable std::uint64_t revision_ = 1;
};

/// Reads a store until a function returns true for an event.
/// @param rejected gets the errors of the items that cannot be decoded
/// @return false when it has not returned true in time
template <class Protocol = empty_store_protocol>
bool read_until(const scripted_server& store, std::function<bool(const event&)> is_last,
                std::vector<error>* rejected = nullptr)
{
    asio::io_context context{1};
    const Protocol protocol;
    bool finished = false;
    typename store_reader<Protocol>::callbacks functions;
    functions.region_of = [](const zone_id& /*zone*/)
    {
        return region_id{};
    };
    functions.reading_peers = []
    {
        return source_readers{};
    };
    functions.send = [](const source_peer& /*to*/, const peer_message& /*message*/) {
    };
    functions.feed = [&](const event& what)
    {
        if (!finished && is_last(what))
        {
            finished = true;
            context.stop();
        }
    };
    functions.on_rejected = [rejected](const error& why)
    {
        if (rejected != nullptr)
        {
            rejected->push_back(why);
        }
    };
    functions.on_read = [](const store_read& /*read*/) {
    };
    functions.on_era = [](source_era /*era*/, revision /*as_of*/) {
    };
    functions.on_relayed = [](std::size_t /*bytes*/) {
    };
    functions.batch_done = [] {
    };
    constexpr double link_rate = 1'250.0;
    store_reader<Protocol> reader(context, store.address(), protocol, 1, link_rate, std::move(functions));
    reader.start();
    context.run_for(safety_timeout);
    reader.close();
    return finished;
}

} // namespace

TEST_GROUP(store_reader){};

// Guards against a store whose watches are answered with broken heads and that is listed without a pause.
TEST(store_reader, waits_after_watches_with_broken_answers)
{
    for (const std::string broken :
         {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n\r\n", "no HTTP\r\n\r\n"})
    {
        std::atomic<int> listings = 0;
        const scripted_server store(
            [&](scripted_server::connection& from)
            {
                while (const auto received = from.request())
                {
                    const bool is_listing = received->starts_with("GET /list");
                    listings += is_listing ? 1 : 0;
                    from.send(is_listing ? http_ok("") : broken);
                }
            });
        constexpr int too_many = 20;
        CHECK(read_until(store, [&listings](const event& what)
                         { return std::holds_alternative<configuration_unavailable>(what) || listings > too_many; }));
        // The first one, and one that replaces the first watch.
        CHECK_TEXT(listings <= 2, broken.c_str());
    }
}

// Guards against a log that an item of another writer fills or forges lines in, and against one that does not name it.
TEST(store_reader, reports_an_unreadable_item_once_with_its_escaped_key)
{
    int watches = 0;
    const scripted_server store(
        [](scripted_server::connection& from)
        {
            while (from.request())
            {
                from.send(http_ok(""));
            }
        });
    std::vector<error> rejected;
    CHECK(read_until<odd_store_protocol>(
        store,
        [&watches](const event& what)
        { return std::holds_alternative<configuration_confirmed>(what) && ++watches > 3; },
        &rejected));
    LONGS_EQUAL(1, rejected.size());
    STRCMP_EQUAL("item \"endpoints/i-1\\x0d\\x0a\": id: is odd", rejected[0].detail.c_str());
}
