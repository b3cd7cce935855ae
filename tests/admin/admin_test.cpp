// What operators and the platform ask beside the traffic: calls, bans, and a second process for the first.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "admin/admin_services.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// A folder of its own for each story, gone with it.
struct Folder {
  std::string path = ::testing::TempDir() + "cherryrail-XXXXXX";
  Folder() { EXPECT_NE(mkdtemp(path.data()), nullptr); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string file(const char* name) const { return path + "/" + name; }
};

// A relay with an operator's door.
struct Office : LoopbackRelay {
  Folder folder;
  int desk = 0;
  std::unique_ptr<admin::AdminServices> operation;

  explicit Office(std::size_t count) : LoopbackRelay(count, 500, "", false) {
    desk = TestSocket::listening().port();
    relay_config.admin = "127.0.0.1:" + std::to_string(desk);
    relay_config.admin_address = net::parse_address(relay_config.admin);
    relay_config.state_directory = folder.path;
    proxy = std::make_unique<proxy::ProxyServer>(event_loop, relay_config);
    operation = std::make_unique<admin::AdminServices>(event_loop, *proxy, relay_config);
  }
  TestSocket caller(std::string_view text) const {
    TestSocket end = TestSocket::connected_to(desk);
    end.send(text);
    return end;
  }
  std::string answer(TestSocket end) {
    EXPECT_TRUE(run_until([&] { return end.is_ended_by_peer(); }));
    return end.received().substr(0, 12);
  }
  static std::string post(const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string call(const char* what, const std::string& who) {
    return answer(caller(post(std::string("/backends/") + what, "{\"who\":\"" + who + "\"}")));
  }
  std::string uid(std::size_t i) const { return "s-" + std::to_string(i); }
};

TEST(AdminServer, EachBadCallIsToldSoAndNoneDelaysTheNext) {
  Office office(1);
  const std::string many(20000, 'x');
  const std::pair<std::string, const char*> calls[] = {
      {"GET /ready HTTP/1.1\r\n\r\n", "HTTP/1.1 200"},
      {"GET /ready?now HTTP/1.0\r\n\r\n", "HTTP/1.1 200"},
      {"GET /nowhere HTTP/1.1\r\n\r\n", "HTTP/1.1 404"},
      {"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
      {"GET /backends/disable HTTP/1.1\r\n\r\n", "HTTP/1.1 405"},
      {"POST /backends/disable HTTP/1.1\r\n\r\n{\"who\":\"s-0\"}", "HTTP/1.1 411"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "HTTP/1.1 413"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", "HTTP/1.1 400"},
      {"POST /backends/disable HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 501"},
      {Office::post("/backends/disable", "who?"), "HTTP/1.1 400"},
      {Office::post("/backends/disable", "{\"who\":7}"), "HTTP/1.1 400"},
      {Office::post("/backends/disable", "[\"who\"]"), "HTTP/1.1 400"},
      {Office::post("/backends/disable", "{\"who\":\"s-9\"}"), "HTTP/1.1 404"},
      {Office::post("/backends/enable", "{\"who\":\"s-9\"}"), "HTTP/1.1 404"},
      {"GET /" + many + " HTTP/1.1\r\n\r\n", "HTTP/1.1 431"},
      {"\x16\x03\x01\r\n\r\n", "HTTP/1.1 400"},
      {"GET /ready HTTP/9\r\n\r\n", "HTTP/1.1 505"}};
  for (const auto& [call, answer] : calls)
    EXPECT_EQ(office.answer(office.caller(call)), answer) << call.substr(0, 80);
  TestSocket half = office.caller("POST /backends/disable HTTP/1.1\r\nContent-Le");
  half.finish_sending();
  EXPECT_EQ(office.answer(std::move(half)), "HTTP/1.1 400");
  office.establish_session("1");  // and nothing of it banned the only backend
}

TEST(AdminServer, ACallMayComeInPiecesOfAnySize) {
  const std::string text =
      "\r\nPOST /backends/disable?x=1 HTTP/1.1\r\ncontent-LENGTH:  7\r\n\r\n{\"a\":1}GET /";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    protocol::HttpRequest call;
    for (std::size_t at = 0; at < text.size(); at += step) call.feed(std::string_view(text).substr(at, step));
    EXPECT_EQ(call.state(), protocol::HttpRequest::State::complete) << step;
    EXPECT_EQ(call.path(), "/backends/disable");
    EXPECT_EQ(call.body(), "{\"a\":1}");  // what follows is not of this call
  }
}

// Callers that hold a connection with no whole call must not keep the next one out, nor clients.
TEST(AdminServer, CallersThatSayNothingGiveWayToOneThatCalls) {
  Office office(1);
  std::vector<TestSocket> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(office.caller(i % 2 ? "GET /rea" : ""));
  EXPECT_EQ(office.answer(office.caller("GET /ready HTTP/1.1\r\n\r\n")), "HTTP/1.1 200");
  EXPECT_TRUE(
      office.run_until([&] { return idle.front().is_ended_by_peer(); }));  // the longest idle went first
  EXPECT_FALSE(idle.back().is_ended_by_peer());
  office.establish_session("1");
}

TEST(AdminServer, AnAddressInUseEndsTheStartNamingTheKey) {
  LoopbackRelay relay(1);
  TestSocket taken = TestSocket::listening();
  relay.relay_config.admin = "127.0.0.1:" + std::to_string(taken.port());
  relay.relay_config.admin_address = net::parse_address(relay.relay_config.admin);
  try {
    admin::AdminServices operation(relay.event_loop, *relay.proxy, relay.relay_config);
    FAIL() << "it started";
  } catch (const config::ConfigError& bad) {
    EXPECT_TRUE(std::string(bad.what()).starts_with("mgmt: ")) << bad.what();
  }
}

// The list knows nothing of the ban: it goes on naming the backend ready, and must not bring it back.
TEST(DisabledBackends, ABannedBackendIsEmptiedAndGetsNothingWhateverTheListSays) {
  Office office(2);
  auto [here, there] = office.establish_session("1");
  const std::size_t at = office.backend_index(there);
  EXPECT_EQ(office.call("disable", office.uid(at)), "HTTP/1.1 200");
  EXPECT_EQ(office.call("disable", office.uid(at)), "HTTP/1.1 200");
  EXPECT_TRUE(office.run_until([&] { return here.received() == "UP r\r\nMOVE\r\n"; }));
  office.publish_endpoints(R"({"rev":5,"all":true,"targets":[)" + office.endpoint(1 - at, "active") +
                           "]}");  // it is removed,
  office.publish_endpoints(R"({"rev":6,"all":true,"targets":[)" + office.endpoint(0, "active") + "," +
                           office.endpoint(1, "active") + "]}");  // and comes back
  for (int i = 2; i < 12; ++i)
    EXPECT_EQ(office.backend_index(office.establish_session(std::to_string(i)).second), 1 - at);
  EXPECT_EQ(office.call("enable", office.uid(at)), "HTTP/1.1 200");  // once undoes both
  EXPECT_TRUE(office.run_until(
      [&] {
        static int flow = 100;
        return office.backend_index(office.establish_session(std::to_string(++flow)).second) == at;
      },
      5000));
}

TEST(DisabledBackends, TheyHoldInTheProcessThatComesNextAndADamagedFileEndsNothing) {
  Office office(2);
  EXPECT_EQ(office.call("disable", "s-1"), "HTTP/1.1 200");
  admin::AdminServices next(office.event_loop, *office.proxy, [&] {
    config::RelayConfig start = office.relay_config;
    start.admin = "127.0.0.1:" + std::to_string(TestSocket::listening().port());
    start.admin_address = net::parse_address(start.admin);
    return start;
  }());
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(office.backend_index(office.establish_session(std::to_string(i)).second), 0u);
  const std::string file = office.folder.file("cherryrail-n.bans");
  ASSERT_TRUE(std::filesystem::exists(file));
  admin::DisabledBackends other(file);
  EXPECT_TRUE(other.names().contains("s-1"));
  std::ofstream(file) << "{\"bans\":[7";
  EXPECT_FALSE(other.reload_if_changed());
  EXPECT_NE(other.error().value().message().find("damaged"), std::string::npos);
  EXPECT_TRUE(other.names().contains("s-1"));    // what is known holds on
  EXPECT_TRUE(other.set_disabled("s-0", true));  // and the next change mends the file
  EXPECT_EQ(admin::DisabledBackends(file).names(), (std::set<std::string>{"s-0", "s-1"}));
}

// Each of the two processes is called: neither loses what the other was told.
TEST(DisabledBackends, TwoProcessesKeepOneSet) {
  Folder folder;
  admin::DisabledBackends one(folder.file("b")), two(folder.file("b"));
  EXPECT_TRUE(one.set_disabled("x", true));
  EXPECT_TRUE(two.set_disabled("y", true));
  EXPECT_TRUE(one.reload_if_changed());
  EXPECT_EQ(one.names(), (std::set<std::string>{"x", "y"}));
  EXPECT_TRUE(one.set_disabled("x", false));
  EXPECT_TRUE(two.reload_if_changed());
  EXPECT_EQ(two.names(), std::set<std::string>{"y"});
  EXPECT_FALSE(two.reload_if_changed());  // nothing new
  admin::DisabledBackends nowhere("/nonexistent/b");
  EXPECT_FALSE(nowhere.set_disabled("x", true));
  EXPECT_TRUE(nowhere.names().contains("x"));  // it holds here all the same
}

TEST(HotRestart, TheLastToAnnounceItselfIsTheHeirOfTheOthers) {
  Folder folder;
  admin::HotRestartSocket none("", "n");
  EXPECT_FALSE(none.announce());
  EXPECT_FALSE(none.connect_to_successor());
  admin::HotRestartSocket first(folder.path, "n");
  EXPECT_TRUE(first.announce());
  EXPECT_FALSE(first.connect_to_successor());  // nobody but itself
  {
    admin::HotRestartSocket second(folder.path, "n");
    EXPECT_FALSE(first.connect_to_successor());  // it runs, but does not serve yet
    EXPECT_TRUE(second.announce());
    EXPECT_TRUE(first.connect_to_successor());
    EXPECT_FALSE(second.connect_to_successor());
  }
  EXPECT_FALSE(first.connect_to_successor());  // it has died
}

// One relay, of which there may be two processes: both have the clients' listening socket.
struct House : LoopbackRelay {
  Folder folder;
  TestSocket listening = TestSocket::listening();
  struct Process {
    proxy::ProxyServer proxy;
    std::unique_ptr<admin::AdminServices> operation;
    Process(net::EventLoop& event_loop, const config::RelayConfig& start)
        : proxy(event_loop, start),
          operation(std::make_unique<admin::AdminServices>(event_loop, proxy, start)) {}
    bool empty() {
      return proxy.hand_over([](const proxy::OutgoingHandover&) { return false; });
    }
  };
  std::vector<TestSocket> watches;
  std::unique_ptr<Process> first, second;

  explicit House(std::size_t count) : LoopbackRelay(count, 500, "", false) {
    port = listening.port();
    relay_config = config::parse_relay_config(config_text(500));
    relay_config.state_directory = folder.path;
    first = process();
  }
  std::unique_ptr<Process> process() {
    relay_config.inherited_listener = dup(listening.fd());
    auto made = std::make_unique<Process>(event_loop, relay_config);
    accept_watch();
    publish_endpoints(R"({"rev":5,"all":false,"targets":[]})");
    watches.push_back(std::exchange(watch, TestSocket()));
    EXPECT_TRUE(run_until([&] { return made->proxy.is_ready(); }, 500));
    run_for(20);
    return made;
  }
  void replace() {
    second = process();
    first->operation->shut_down();
  }
};

TEST(Handover, OpenTunnelsGoOnAndNeitherEndNotices) {
  House house(2);
  auto [here, there] = house.establish_session("1");
  auto [torn, half] = house.establish_session("2");
  half.send("half a li");
  ASSERT_TRUE(house.run_until([&] { return torn.received().ends_with("half a li"); }));
  house.replace();
  house.run_for(60);
  half.send("ne\r\n");
  house.run_for(60);
  EXPECT_TRUE(house.first->empty());
  here.send("to you\r\n");
  there.send("to you, too\r\n");
  EXPECT_TRUE(house.run_until([&] { return there.received().ends_with("to you\r\n"); }));
  EXPECT_TRUE(house.run_until([&] { return here.received() == "UP r\r\nto you, too\r\n"; }));
  half.send("BYE\r\n");
  half.close();
  EXPECT_TRUE(house.run_until([&] { return torn.is_ended_by_peer(); }));
  EXPECT_EQ(torn.received(), "UP r\r\nhalf a line\r\nBYE\r\n");
  TestSocket thief = house.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.run_until([&] { return thief.received() == "ERR\r\n"; }));  // its id went over with it
}

// Nobody that the first process took in is refused: some have written half a line, some wait for their
// answer.
TEST(Handover, ClientsWithoutATunnelAreServedAllTheSame) {
  House house(1);
  TestSocket slow = house.connect_client("OPEN 5 5 c=ta"), silent = house.connect_client("");
  TestSocket waits = house.connect_client("OPEN 6 6 c=talk,d=1200\r\n");
  TestSocket setup = house.accept_attempt();
  house.run_for(30);
  house.replace();
  house.run_for(60);
  slow.send("lk,d=1200\r\n");
  TestSocket other = house.accept_attempt();
  other.send("UP 5\r\n");
  EXPECT_TRUE(house.run_until([&] { return slow.received() == "UP 5\r\n"; }));
  setup.send("UP 6\r\n");
  EXPECT_TRUE(house.run_until([&] { return waits.received() == "UP 6\r\n"; }));
  house.run_for(60);
  EXPECT_TRUE(house.first->empty());
  waits.send("still\r\n");
  EXPECT_TRUE(house.run_until([&] { return setup.received().ends_with("still\r\n"); }));
  silent.send("OPEN 7 7 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.accept_attempt());
}

// It was given the socket and died: what was not given to it is moved, not lost.
TEST(Handover, ASuccessorThatDiesLeavesTheClientsToBeMoved) {
  House house(1);
  auto [here, there] = house.establish_session("1");
  there.send("half a li");
  ASSERT_TRUE(house.run_until([&] { return here.received().ends_with("half a li"); }));
  house.replace();
  house.second->operation.reset();
  there.send("ne\r\n");
  EXPECT_TRUE(house.run_until([&] { return here.is_ended_by_peer(); }, 1000));
  EXPECT_EQ(here.received(), "UP r\r\nhalf a line\r\nMOVE\r\n");
}

TEST(Handover, WithoutASuccessorItEndsAsEver) {
  House house(1);
  auto [here, there] = house.establish_session("1");
  house.first->operation->shut_down();
  auto late = house.establish_session("2");  // it goes on taking clients in for a moment
  EXPECT_TRUE(house.run_until([&] { return here.is_ended_by_peer() && late.first.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP r\r\nMOVE\r\n");
}

// An open tunnel as a process hands it over, with its other ends.
struct HandedTunnel {
  TestSocket one = TestSocket::listening(), client = TestSocket::connected_to(one.port()),
             theirs = one.accept();
  TestSocket two = TestSocket::listening(), server = TestSocket::connected_to(two.port());
  proxy::IncomingHandover handed;
  explicit HandedTunnel(const std::string& backend) {
    handed.message = proxy::OpenSession{"OPEN 9 9 c=talk,d=1200", backend};
    handed.downstream = net::FileDescriptor(dup(theirs.fd()));
    handed.upstream = net::FileDescriptor(dup(server.fd()));
  }
};

// Its successor takes it from here, wherever the list has it now.
TEST(Handover, ATunnelWhoseBackendHasLeftTheListIsMovedByTheSuccessor) {
  House house(2);
  auto [here, there] = house.establish_session("1");
  const std::size_t at = house.backend_index(there);
  house.second = house.process();
  HandedTunnel over("s-left");
  over.theirs.close();
  house.second->proxy.receive_handover(std::move(over.handed));
  EXPECT_TRUE(house.run_until([&] { return over.client.received() == "MOVE\r\n"; }));
  EXPECT_FALSE(here.is_ended_by_peer()) << at;
}

// A tunnel may come over before the list names its backend; a ban holds for that backend all the same.
TEST(Handover, ABanHoldsForABackendKnownFromATunnelFirst) {
  House house(1);
  house.backends.push_back(TestSocket::listening());
  house.first->proxy.set_disabled_backends({"s-1"});
  HandedTunnel over("s-1");
  house.first->proxy.receive_handover(std::move(over.handed));
  house.watch = std::move(house.watches.back());
  house.publish_endpoints(R"({"rev":6,"all":false,"targets":[)" + house.endpoint(1, "active") + "]}");
  house.run_for(50);
  for (int i = 1; i < 9; ++i)
    EXPECT_EQ(house.backend_index(house.establish_session(std::to_string(i + 20)).second), 0u);
}

// Two processes at once are one relay to the limit on descriptors.
TEST(HotRestart, WhatTheOtherProcessHoldsCountsToo) {
  House house(1);
  int ready[2], go[2];
  ASSERT_EQ(pipe(ready) + pipe(go), 0);
  const pid_t child = fork();
  if (child == 0) {  // the process that comes next: it says that it is there, and holds much
    admin::HotRestartSocket there(house.folder.path, "cherryrail-n.serves");
    const auto before = there.connect_to_successor();
    while (dup(0) >= 0 && admin::count_open_descriptors(getpid()) < 480) {
    }
    char one = before ? 'y' : 'n';
    _exit(write(ready[1], &one, 1) == 1 && read(go[0], &one, 1) == 1 ? 0 : 1);
  }
  char answer = 0;
  ASSERT_EQ(read(ready[0], &answer, 1), 1);
  EXPECT_EQ(answer, 'y');
  house.run_for(150);
  TestSocket refused = house.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.run_until([&] { return refused.is_ended_by_peer(); }));
  EXPECT_EQ(refused.received(), "BUSY\r\n");
  EXPECT_EQ(write(go[1], "g", 1), 1);
  EXPECT_EQ(waitpid(child, nullptr, 0), child);
  house.run_for(50);
  house.establish_session("2");  // it has gone, and all is ours again
  for (const int fd : {ready[0], ready[1], go[0], go[1]}) close(fd);
}

TEST(HotRestart, WhatWasLearnedArrivesAsItWas) {
  Folder folder;
  admin::HotRestartSocket first(folder.path, "n"), second(folder.path, "n");
  ASSERT_TRUE(second.announce());
  const auto to = first.connect_to_successor();
  ASSERT_TRUE(to);
  const admin::HandoverChannel from(net::FileDescriptor(accept(second.descriptor(), nullptr, nullptr)));
  proxy::OutgoingHandover handed;
  handed.message = StateSnapshot{
      5, 6, 7, 8, 2.5, 3, {{0xffffffffffffffffULL, 1, 2, 3, 0.5, 1e300, 4, true, false, true, -1, 9}}};
  EXPECT_EQ(to->send(handed), admin::SendResult::sent);
  const admin::ReceiveResult got = from.receive();
  ASSERT_TRUE(got.handover);
  const auto* memory = std::get_if<StateSnapshot>(&got.handover->message);
  ASSERT_TRUE(memory && memory->backends.size() == 1);
  EXPECT_EQ(memory->new_sessions, 8u);
  const BackendSnapshot& of = memory->backends[0];
  EXPECT_EQ(of.name, 0xffffffffffffffffULL);
  EXPECT_EQ(of.capacity_limit, 1e300);
  EXPECT_EQ(of.admission_slot, -1);
  EXPECT_EQ(of.admitted_in_slot, 9u);
  EXPECT_TRUE(of.is_ejected && of.is_capacity_inferred && !of.is_unresponsive);
  // What cannot be understood costs nothing but itself.
  EXPECT_EQ(send(to->descriptor(), "rubbish", 7, 0), 7);
  const admin::ReceiveResult rubbish = from.receive();
  EXPECT_FALSE(rubbish.handover);
  EXPECT_FALSE(rubbish.is_peer_gone);
}

TEST(HotRestart, AnInheritedDescriptorThatIsNotOursIsNamed) {
  LoopbackRelay relay(1);
  const auto fault = [&](int fd) {
    setenv("EDGE_SOCKET_FD", std::to_string(fd).c_str(), 1);
    std::string what;
    try {
      config::parse_relay_config(relay.config_text(500));
    } catch (const config::ConfigError& bad) {
      what = bad.what();
    }
    unsetenv("EDGE_SOCKET_FD");
    return what;
  };
  TestSocket elsewhere = TestSocket::listening(), stream = TestSocket::connected_to(relay.port);
  EXPECT_NE(fault(9999).find("EDGE_SOCKET_FD"), std::string::npos);
  EXPECT_NE(fault(stream.fd()).find("not a listening"), std::string::npos);
  EXPECT_NE(fault(elsewhere.fd()).find("does not listen where"), std::string::npos);
  relay.port = elsewhere.port();
  EXPECT_EQ(fault(elsewhere.fd()), "");
}

}  // namespace
}  // namespace cherryrail::testing
