#include <parsleyshift/test_support/property.hpp> // check_property

#include "loopback.hpp" // running_daemon, scripted_server

#include <parsleyshift/runtime/metrics.hpp>      // metrics
#include <parsleyshift/runtime/peer_network.hpp> // peer_network
#include <parsleyshift/wire/peer_codec.hpp>      // encode, frame_header

using namespace parsleyshift;
using namespace parsleyshift::test_support;

namespace
{

std::string frame(const std::string& bytes)
{
    const auto header = frame_header(bytes.size());
    return std::string(header.begin(), header.end()) + bytes;
}

std::string budget_loan_frame(std::uint64_t sequence)
{
    peer_envelope envelope;
    envelope.message = budget_loan{customer_id{"c"}, sequence, 1};
    return frame(encode(envelope));
}

const std::string dropped = "parsleyshift_peer_frames_dropped_total";
const std::string malformed = R"(parsleyshift_malformed_input_total{kind="malformed_request",source="peer"})";

bool starts_with(const std::string& text, const std::string& head)
{
    return text.substr(0, head.size()) == head;
}

} // namespace

TEST_GROUP(peers_and_platform){};

// Guards against messages that are lost or reordered on a working connection when the rings are full, and against
// envelopes with a wrong sender.
TEST(peers_and_platform, messages_between_instances_keep_their_order)
{
    fake_decider sender_core;
    fake_decider receiver_core;
    auto settings = test_settings();
    daemon_options options;
    options.started = incarnation{42};
    options.ring_capacity = 2;
    running_daemon sender(sender_core, settings, options);
    settings.instance = instance_id{"two"};
    running_daemon receiver(receiver_core, settings, options);
    const std::string address = "127.0.0.1:" + std::to_string(receiver.peer_port());
    std::vector<action> sent;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        sent.emplace_back(send_to_peer{instance_id{"two"}, address, budget_loan{customer_id{"c"}, i, 5}});
    }
    sender.perform(std::move(sent));
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        const peer_envelope received_envelope = receiver_core.expect<peer_received>().envelope;
        CHECK(received_envelope.sender == instance_id{"one"} && received_envelope.started == incarnation{42} &&
              received_envelope.highest_revision == revision{77});
        CHECK(received_envelope.peer_address == "127.0.0.1:" + std::to_string(sender.peer_port()));
        CHECK(std::get<budget_loan>(received_envelope.message).sequence == i);
    }
}

// Guards against a frame that cannot be decoded, as of a newer version, that ends the connection, and against a length
// prefix above the limit that does not.
TEST(peers_and_platform, malformed_frames_are_counted_and_skipped)
{
    fake_decider core;
    running_daemon instance(core);
    client peer(instance.peer_port());
    peer.send(frame("no thrift") + budget_loan_frame(1));
    CHECK(std::get<budget_loan>(core.expect<peer_received>().envelope.message).sequence == 1);
    CHECK_EQUAL(1, instance.metric(malformed));
    peer.send(std::string("\xff\xff\xff\xff", 4) + "rest");
    CHECK(peer.read_all().empty());
    client next(instance.peer_port());
    next.send(budget_loan_frame(2));
    CHECK(std::get<budget_loan>(core.expect<peer_received>().envelope.message).sequence == 2);
}

// Guards against messages to an unreachable peer that stay queued, or that are dropped without being counted.
TEST(peers_and_platform, messages_to_an_unreachable_peer_are_dropped_and_counted)
{
    fake_decider core;
    running_daemon instance(core);
    const std::string address = refused_address();
    instance.perform({send_to_peer{instance_id{"x"}, address, probe{}}});
    // The kernel refuses the connection at once; each read of the metrics is a round trip to the daemon.
    for (int i = 0; i < 10'000 && instance.metric(dropped) < 1; ++i)
    {
    }
    CHECK_EQUAL(1, instance.metric(dropped));
}

// Guards against a write whose completion is handled after the connection was closed and its queue was cleared.
TEST(peers_and_platform, a_connection_may_close_while_a_frame_is_being_written)
{
    asio::io_context context{1};
    metrics process_metrics;
    channel<inbound_event> events(
        16, [] {}, [] {});
    peer_network_options options;
    options.address = "127.0.0.1:0";
    peer_network network(context, options, events, process_metrics);
    CHECK(network.listen().has_value());
    tcp::acceptor peer(context, loopback(0));
    const std::string address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
    const auto send = [&network, &address]
    {
        send_to_peer outgoing{instance_id{"two"}, address, budget_loan{customer_id{"c"}, 1, 1}};
        network.send(outgoing, revision{});
    };
    constexpr int attempts = 20;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        send();
        tcp::socket accepted(context);
        peer.accept(accepted);
        while (!network.idle())
        {
            context.run_one();
        }
        // Unread bytes would make the close a reset, which the write would notice.
        std::string received(accepted.available(), '\0');
        asio::read(accepted, asio::buffer(received));
        accepted.close();
        // The loop learns of the end of the connection before it runs this handler, which writes at once, and handles
        // the end before the completion of the write.
        asio::post(context, send);
        context.poll();
    }
    send();
    tcp::socket accepted(context);
    peer.accept(accepted);
    while (!network.idle())
    {
        context.run_one();
    }
    char first_byte = 0;
    LONGS_EQUAL(1, asio::read(accepted, asio::buffer(&first_byte, 1)));
}

// Guards against a crash or a blocked port caused by arbitrary bytes of a peer.
TEST(peers_and_platform, arbitrary_bytes_never_stop_the_peer_port)
{
    fake_decider core;
    running_daemon instance(core);
    check_property("arbitrary bytes",
                   [&instance](const std::string& bytes)
                   {
                       client peer(instance.peer_port());
                       peer.send(*rc::gen::element(bytes, frame(bytes), budget_loan_frame(9) + bytes));
                       peer.close();
                   });
    client peer(instance.peer_port());
    peer.send(budget_loan_frame(10));
    while (std::get<budget_loan>(core.expect<peer_received>().envelope.message).sequence != 10)
    {
    }
}

// Guards against a configuration read that loses its parameters or its response, or that reports malformed data as a
// page of records.
TEST(peers_and_platform, read_configuration_sends_one_request_and_reports_the_result)
{
    std::vector<std::string> targets;
    scripted_server service(
        [&targets](scripted_server::connection& connection)
        {
            while (const auto request = connection.request())
            {
                targets.push_back(request->substr(0, request->find(" HTTP")));
                const bool first = targets.size() == 1;
                connection.send(http_ok(
                    first ? R"({"revision":4,"records":[{"kind":"fleet","name":"f","revision":4,"body":{}}]})" : "["));
            }
        });
    auto settings = test_settings();
    settings.configuration_service = service.address();
    fake_decider core;
    running_daemon instance(core, settings);
    instance.perform({read_configuration{revision{}, duration{0}}});
    const auto page = core.expect<configuration_received>();
    CHECK(page.highest_revision == revision{4} && page.records.size() == 1 && page.complete);
    instance.perform({read_configuration{revision{4}, duration{250}}});
    core.expect<configuration_unavailable>();
    CHECK(targets[0] == "GET /records?after=0&wait_ms=0" && targets[1] == "GET /records?after=4&wait_ms=250");
}

// Guards against a read without a result when the configuration service is unreachable or not configured.
TEST(peers_and_platform, an_unreachable_configuration_service_is_reported)
{
    for (const std::string& address : {refused_address(), std::string()})
    {
        auto settings = test_settings();
        settings.configuration_service = address;
        fake_decider core;
        running_daemon instance(core, settings);
        instance.perform({read_configuration{revision{3}, duration{0}}});
        core.expect<configuration_unavailable>();
    }
}

// Guards against an instance list that is read only once, or that is not read again after a failure.
TEST(peers_and_platform, the_instance_list_is_polled)
{
    std::atomic<int> request_count = 0;
    scripted_server list(
        [&request_count](scripted_server::connection& connection)
        {
            while (const auto request = connection.request())
            {
                ++request_count;
                CHECK(starts_with(*request, "GET /instances HTTP/1.1\r\n"));
                connection.send(request_count == 2 ? http_ok("{", "500 Broken")
                                                   : http_ok(R"({"as_of_ms":)" + std::to_string(request_count.load()) +
                                                             R"(,"instances":[{"id":"i","role":"plain","service":"s",
                                                         "address":"127.0.0.1:9","state":"leaving"}]})"));
            }
        });
    auto settings = test_settings();
    settings.instance_list = list.address();
    settings.intervals.instance_list = duration{5};
    fake_decider core;
    running_daemon instance(core, settings);
    CHECK(core.expect<instances_listed>().as_of == at_ms(1));
    const auto later = core.expect<instances_listed>();
    CHECK(later.as_of == at_ms(3) && later.instances.size() == 1 && later.instances.front().leaving);
}
