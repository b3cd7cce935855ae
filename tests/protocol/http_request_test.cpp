#include "protocol/http_request.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace cherryrail::testing {
namespace {

TEST(HttpRequest, ParsesARequestSplitAtAnyByte) {
  const std::string text =
      "\r\nPOST /backends/disable?x=1 HTTP/1.1\r\ncontent-LENGTH:  7\r\n\r\n{\"a\":1}GET /";

  for (std::size_t step = 1; step <= text.size(); ++step) {
    protocol::HttpRequest request;
    for (std::size_t at = 0; at < text.size(); at += step)
      request.feed(std::string_view(text).substr(at, step));

    EXPECT_EQ(request.state(), protocol::HttpRequest::State::complete) << step;
    EXPECT_EQ(request.path(), "/backends/disable");
    EXPECT_EQ(request.body(), "{\"a\":1}");  // the bytes after the body are not part of the request
  }
}

}  // namespace
}  // namespace cherryrail::testing
