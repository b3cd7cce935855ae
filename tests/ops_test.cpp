// What operators and the platform ask beside the traffic: calls, bans, and a second process for the first.
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>

#include "helpers.hpp"
#include "ops/operation.hpp"

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
struct Office : Town {
  Folder folder;
  int desk = 0;
  std::unique_ptr<ops::Operation> operation;

  explicit Office(std::size_t count) : Town(count, 500, "", false) {
    desk = End::listening().port();
    start.mgmt = "127.0.0.1:" + std::to_string(desk);
    start.mgmt_on = net::parse_address(start.mgmt);
    start.kept_in = folder.path;
    door = std::make_unique<net::Door>(loop, start);
    operation = std::make_unique<ops::Operation>(loop, *door, start);
  }
  End caller(std::string_view text) const {
    End end = End::to(desk);
    end.say(text);
    return end;
  }
  std::string answer(End end) {
    EXPECT_TRUE(until([&] { return end.ended(); }));
    return end.heard().substr(0, 12);
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

TEST(Calls, EachBadCallIsToldSoAndNoneDelaysTheNext) {
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
  End half = office.caller("POST /backends/disable HTTP/1.1\r\nContent-Le");
  half.end_sending();
  EXPECT_EQ(office.answer(std::move(half)), "HTTP/1.1 400");
  office.open("1");  // and nothing of it banned the only backend
}

TEST(Calls, ACallMayComeInPiecesOfAnySize) {
  const std::string text =
      "\r\nPOST /backends/disable?x=1 HTTP/1.1\r\ncontent-LENGTH:  7\r\n\r\n{\"a\":1}GET /";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    ops::Call call;
    for (std::size_t at = 0; at < text.size(); at += step) call.feed(std::string_view(text).substr(at, step));
    EXPECT_EQ(call.state(), ops::Call::State::whole) << step;
    EXPECT_EQ(call.path(), "/backends/disable");
    EXPECT_EQ(call.body(), "{\"a\":1}");  // what follows is not of this call
  }
}

// Callers that hold a connection with no whole call must not keep the next one out, nor clients.
TEST(Calls, CallersThatSayNothingGiveWayToOneThatCalls) {
  Office office(1);
  std::vector<End> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(office.caller(i % 2 ? "GET /rea" : ""));
  EXPECT_EQ(office.answer(office.caller("GET /ready HTTP/1.1\r\n\r\n")), "HTTP/1.1 200");
  EXPECT_TRUE(office.until([&] { return idle.front().ended(); }));  // the longest idle went first
  EXPECT_FALSE(idle.back().ended());
  office.open("1");
}

TEST(Calls, AnAddressInUseEndsTheStartNamingTheKey) {
  Town town(1);
  End taken = End::listening();
  town.start.mgmt = "127.0.0.1:" + std::to_string(taken.port());
  town.start.mgmt_on = net::parse_address(town.start.mgmt);
  try {
    ops::Operation operation(town.loop, *town.door, town.start);
    FAIL() << "it started";
  } catch (const BadSetting& bad) {
    EXPECT_TRUE(std::string(bad.what()).starts_with("mgmt: ")) << bad.what();
  }
}

// The list knows nothing of the ban: it goes on naming the backend ready, and must not bring it back.
TEST(Bans, ABannedBackendIsEmptiedAndGetsNothingWhateverTheListSays) {
  Office office(2);
  auto [here, there] = office.open("1");
  const std::size_t at = office.holder(there);
  EXPECT_EQ(office.call("disable", office.uid(at)), "HTTP/1.1 200");
  EXPECT_EQ(office.call("disable", office.uid(at)), "HTTP/1.1 200");
  EXPECT_TRUE(office.until([&] { return here.heard() == "UP r\r\nMOVE\r\n"; }));
  office.list(R"({"rev":5,"all":true,"targets":[)" + office.target(1 - at, "active") +
              "]}");  // it is removed,
  office.list(R"({"rev":6,"all":true,"targets":[)" + office.target(0, "active") + "," +
              office.target(1, "active") + "]}");  // and comes back
  for (int i = 2; i < 12; ++i) EXPECT_EQ(office.holder(office.open(std::to_string(i)).second), 1 - at);
  EXPECT_EQ(office.call("enable", office.uid(at)), "HTTP/1.1 200");  // once undoes both
  EXPECT_TRUE(office.until(
      [&] {
        static int flow = 100;
        return office.holder(office.open(std::to_string(++flow)).second) == at;
      },
      5000));
}

TEST(Bans, TheyHoldInTheProcessThatComesNextAndADamagedFileEndsNothing) {
  Office office(2);
  EXPECT_EQ(office.call("disable", "s-1"), "HTTP/1.1 200");
  ops::Operation next(office.loop, *office.door, [&] {
    net::Start start = office.start;
    start.mgmt = "127.0.0.1:" + std::to_string(End::listening().port());
    start.mgmt_on = net::parse_address(start.mgmt);
    return start;
  }());
  for (int i = 0; i < 6; ++i) EXPECT_EQ(office.holder(office.open(std::to_string(i)).second), 0u);
  const std::string file = office.folder.file("cherryrail-n.bans");
  ASSERT_TRUE(std::filesystem::exists(file));
  ops::Bans other(file);
  EXPECT_TRUE(other.names().contains("s-1"));
  std::ofstream(file) << "{\"bans\":[7";
  EXPECT_FALSE(other.look());
  EXPECT_NE(other.fault().find("damaged"), std::string::npos);
  EXPECT_TRUE(other.names().contains("s-1"));  // what is known holds on
  EXPECT_TRUE(other.change("s-0", true));      // and the next change mends the file
  EXPECT_EQ(ops::Bans(file).names(), (std::set<std::string>{"s-0", "s-1"}));
}

// Each of the two processes is called: neither loses what the other was told.
TEST(Bans, TwoProcessesKeepOneSet) {
  Folder folder;
  ops::Bans one(folder.file("b")), two(folder.file("b"));
  EXPECT_TRUE(one.change("x", true));
  EXPECT_TRUE(two.change("y", true));
  EXPECT_TRUE(one.look());
  EXPECT_EQ(one.names(), (std::set<std::string>{"x", "y"}));
  EXPECT_TRUE(one.change("x", false));
  EXPECT_TRUE(two.look());
  EXPECT_EQ(two.names(), std::set<std::string>{"y"});
  EXPECT_FALSE(two.look());  // nothing new
  ops::Bans nowhere("/nonexistent/b");
  EXPECT_FALSE(nowhere.change("x", true));
  EXPECT_TRUE(nowhere.names().contains("x"));  // it holds here all the same
}

TEST(Succession, TheLastToAnnounceItselfIsTheHeirOfTheOthers) {
  Folder folder;
  ops::Succession none("", "n");
  EXPECT_FALSE(none.announce());
  EXPECT_FALSE(none.heir());
  ops::Succession first(folder.path, "n");
  EXPECT_TRUE(first.announce());
  EXPECT_FALSE(first.heir());  // nobody but itself
  {
    ops::Succession second(folder.path, "n");
    EXPECT_FALSE(first.heir());  // it runs, but does not serve yet
    EXPECT_TRUE(second.announce());
    EXPECT_TRUE(first.heir());
    EXPECT_FALSE(second.heir());
  }
  EXPECT_FALSE(first.heir());  // it has died
}

// One relay, of which there may be two processes: both have the clients' listening socket.
struct House : Town {
  Folder folder;
  End listening = End::listening();
  struct Process {
    net::Door door;
    std::unique_ptr<ops::Operation> operation;
    Process(net::Loop& loop, const net::Start& start)
        : door(loop, start), operation(std::make_unique<ops::Operation>(loop, door, start)) {}
    bool empty() {
      return door.hand_over([](const net::Handed&) { return false; });
    }
  };
  std::vector<End> watches;
  std::unique_ptr<Process> first, second;

  explicit House(std::size_t count) : Town(count, 500, "", false) {
    port = listening.port();
    start = net::read_start_text(told(500));
    start.kept_in = folder.path;
    first = process();
  }
  std::unique_ptr<Process> process() {
    start.clients_fd = dup(listening.fd());
    auto made = std::make_unique<Process>(loop, start);
    watched();
    list(R"({"rev":5,"all":false,"targets":[]})");
    watches.push_back(std::exchange(watch, End()));
    EXPECT_TRUE(until([&] { return made->door.ready(); }, 500));
    until([] { return false; }, 20);
    return made;
  }
  void replace() {
    second = process();
    first->operation->leave();
  }
};

TEST(Handover, OpenTunnelsGoOnAndNeitherEndNotices) {
  House house(2);
  auto [here, there] = house.open("1");
  auto [torn, half] = house.open("2");
  half.say("half a li");
  ASSERT_TRUE(house.until([&] { return torn.heard().ends_with("half a li"); }));
  house.replace();
  house.until([] { return false; }, 60);
  half.say("ne\r\n");
  house.until([] { return false; }, 60);
  EXPECT_TRUE(house.first->empty());
  here.say("to you\r\n");
  there.say("to you, too\r\n");
  EXPECT_TRUE(house.until([&] { return there.heard().ends_with("to you\r\n"); }));
  EXPECT_TRUE(house.until([&] { return here.heard() == "UP r\r\nto you, too\r\n"; }));
  half.say("BYE\r\n");
  half.close();
  EXPECT_TRUE(house.until([&] { return torn.ended(); }));
  EXPECT_EQ(torn.heard(), "UP r\r\nhalf a line\r\nBYE\r\n");
  End thief = house.client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.until([&] { return thief.heard() == "ERR\r\n"; }));  // its id went over with it
}

// Nobody that the first process took in is refused: some have written half a line, some wait for their
// answer.
TEST(Handover, ClientsWithoutATunnelAreServedAllTheSame) {
  House house(1);
  End slow = house.client("OPEN 5 5 c=ta"), silent = house.client("");
  End waits = house.client("OPEN 6 6 c=talk,d=1200\r\n");
  End setup = house.setup();
  house.until([] { return false; }, 30);
  house.replace();
  house.until([] { return false; }, 60);
  slow.say("lk,d=1200\r\n");
  End other = house.setup();
  other.say("UP 5\r\n");
  EXPECT_TRUE(house.until([&] { return slow.heard() == "UP 5\r\n"; }));
  setup.say("UP 6\r\n");
  EXPECT_TRUE(house.until([&] { return waits.heard() == "UP 6\r\n"; }));
  house.until([] { return false; }, 60);
  EXPECT_TRUE(house.first->empty());
  waits.say("still\r\n");
  EXPECT_TRUE(house.until([&] { return setup.heard().ends_with("still\r\n"); }));
  silent.say("OPEN 7 7 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.setup());
}

// It was given the socket and died: what was not given to it is moved, not lost.
TEST(Handover, ASuccessorThatDiesLeavesTheClientsToBeMoved) {
  House house(1);
  auto [here, there] = house.open("1");
  there.say("half a li");
  ASSERT_TRUE(house.until([&] { return here.heard().ends_with("half a li"); }));
  house.replace();
  house.second->operation.reset();
  there.say("ne\r\n");
  EXPECT_TRUE(house.until([&] { return here.ended(); }, 1000));
  EXPECT_EQ(here.heard(), "UP r\r\nhalf a line\r\nMOVE\r\n");
}

TEST(Handover, WithoutASuccessorItEndsAsEver) {
  House house(1);
  auto [here, there] = house.open("1");
  house.first->operation->leave();
  auto late = house.open("2");  // it goes on taking clients in for a moment
  EXPECT_TRUE(house.until([&] { return here.ended() && late.first.ended(); }));
  EXPECT_EQ(here.heard(), "UP r\r\nMOVE\r\n");
}

// An open tunnel as a process hands it over, with its other ends.
struct HandedTunnel {
  End one = End::listening(), client = End::to(one.port()), theirs = one.accept();
  End two = End::listening(), server = End::to(two.port());
  net::Handed handed;
  explicit HandedTunnel(const std::string& backend) {
    handed.head = "OPEN 9 9 c=talk,d=1200";
    handed.backend = backend;
    handed.client = dup(theirs.fd());
    handed.server = dup(server.fd());
  }
};

// Its successor takes it from here, wherever the list has it now.
TEST(Handover, ATunnelWhoseBackendHasLeftTheListIsMovedByTheSuccessor) {
  House house(2);
  auto [here, there] = house.open("1");
  const std::size_t at = house.holder(there);
  house.second = house.process();
  HandedTunnel over("s-left");
  over.theirs.close();
  house.second->door.take_over(over.handed);
  EXPECT_TRUE(house.until([&] { return over.client.heard() == "MOVE\r\n"; }));
  EXPECT_FALSE(here.ended()) << at;
}

// A tunnel may come over before the list names its backend; a ban holds for that backend all the same.
TEST(Handover, ABanHoldsForABackendKnownFromATunnelFirst) {
  House house(1);
  house.backends.push_back(End::listening());
  house.first->door.ban({"s-1"});
  HandedTunnel over("s-1");
  house.first->door.take_over(over.handed);
  house.watch = std::move(house.watches.back());
  house.list(R"({"rev":6,"all":false,"targets":[)" + house.target(1, "active") + "]}");
  house.until([] { return false; }, 50);
  for (int i = 1; i < 9; ++i) EXPECT_EQ(house.holder(house.open(std::to_string(i + 20)).second), 0u);
}

// Two processes at once are one relay to the limit on descriptors.
TEST(Succession, WhatTheOtherProcessHoldsCountsToo) {
  House house(1);
  int ready[2], go[2];
  ASSERT_EQ(pipe(ready) + pipe(go), 0);
  const pid_t child = fork();
  if (child == 0) {  // the process that comes next: it says that it is there, and holds much
    ops::Succession there(house.folder.path, "cherryrail-n.serves");
    const ops::Handle before = there.heir();
    while (dup(0) >= 0 && ops::descriptors_of(getpid()) < 480) {
    }
    char one = before ? 'y' : 'n';
    _exit(write(ready[1], &one, 1) == 1 && read(go[0], &one, 1) == 1 ? 0 : 1);
  }
  char answer = 0;
  ASSERT_EQ(read(ready[0], &answer, 1), 1);
  EXPECT_EQ(answer, 'y');
  house.until([] { return false; }, 150);
  End refused = house.client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(house.until([&] { return refused.ended(); }));
  EXPECT_EQ(refused.heard(), "BUSY\r\n");
  EXPECT_EQ(write(go[1], "g", 1), 1);
  EXPECT_EQ(waitpid(child, nullptr, 0), child);
  house.until([] { return false; }, 50);
  house.open("2");  // it has gone, and all is ours again
  for (const int fd : {ready[0], ready[1], go[0], go[1]}) close(fd);
}

TEST(Succession, WhatWasLearnedArrivesAsItWas) {
  Folder folder;
  ops::Succession first(folder.path, "n"), second(folder.path, "n");
  ASSERT_TRUE(second.announce());
  const ops::Handle to = first.heir();
  ASSERT_TRUE(to);
  const ops::Handle from(accept(second.listening(), nullptr, nullptr));
  net::Handed handed;
  handed.memory =
      Memory{5, 6, 7, 8, 2.5, 3, {{0xffffffffffffffffULL, 1, 2, 3, 0.5, 1e300, 4, true, false, true, -1, 9}}};
  EXPECT_EQ(ops::give(to, handed), ops::Gave::yes);
  bool over = false;
  const auto got = ops::taken(from, over);
  ASSERT_TRUE(got && got->memory && got->memory->backends.size() == 1);
  EXPECT_EQ(got->memory->new_clients, 8u);
  const Memory::Of& of = got->memory->backends[0];
  EXPECT_EQ(of.name, 0xffffffffffffffffULL);
  EXPECT_EQ(of.room, 1e300);
  EXPECT_EQ(of.cold_turn, -1);
  EXPECT_EQ(of.cold_sent, 9u);
  EXPECT_TRUE(of.aside && of.presumed && !of.silent);
  // What cannot be understood costs nothing but itself.
  EXPECT_EQ(send(to.get(), "rubbish", 7, 0), 7);
  EXPECT_FALSE(ops::taken(from, over));
  EXPECT_FALSE(over);
}

TEST(Succession, AnInheritedDescriptorThatIsNotOursIsNamed) {
  Town town(1);
  const auto fault = [&](int fd) {
    setenv("EDGE_SOCKET_FD", std::to_string(fd).c_str(), 1);
    std::string what;
    try {
      net::read_start_text(town.told(500));
    } catch (const BadSetting& bad) {
      what = bad.what();
    }
    unsetenv("EDGE_SOCKET_FD");
    return what;
  };
  End elsewhere = End::listening(), stream = End::to(town.port);
  EXPECT_NE(fault(9999).find("EDGE_SOCKET_FD"), std::string::npos);
  EXPECT_NE(fault(stream.fd()).find("not a listening"), std::string::npos);
  EXPECT_NE(fault(elsewhere.fd()).find("does not listen where"), std::string::npos);
  town.port = elsewhere.port();
  EXPECT_EQ(fault(elsewhere.fd()), "");
}

}  // namespace
}  // namespace cherryrail::testing
