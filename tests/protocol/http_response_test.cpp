#include "protocol/http_response.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace cherryrail::testing {
namespace {

TEST(HttpResponse, ParsesAChunkedResponseSplitAtAnyByte) {
  const std::string_view whole =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nX: y\r\n\r\n5\r\nab\ncd\r\n1;q=1\r\ne\r\n0\r\n\r\n";

  for (std::size_t step = 1; step < whole.size(); ++step) {
    protocol::HttpResponse response;
    std::string body;
    for (std::size_t at = 0; at < whole.size(); at += step)
      response.feed(whole.substr(at, step), [&](std::string_view part) { body += part; });

    EXPECT_EQ(body, "ab\ncde");
    EXPECT_EQ(response.status(), 200);
    EXPECT_EQ(response.state(), protocol::HttpResponse::State::complete);
  }
}

TEST(HttpResponse, DetectsAMalformedResponse) {
  for (const char* text : {"SSH-2.0-x\r\n", "HTTP/1.1 200\r\nnonsense\r\n",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    protocol::HttpResponse response;
    EXPECT_EQ(response.feed(text, [](std::string_view) {}), protocol::HttpResponse::State::malformed) << text;
  }
}

}  // namespace
}  // namespace cherryrail::testing
