// A temporary folder for one test, removed with its contents by the destructor.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace cherryrail::testing {

class TemporaryFolder {
 public:
  TemporaryFolder() { EXPECT_NE(mkdtemp(path_.data()), nullptr); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  const std::string& path() const { return path_; }
  std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_ = ::testing::TempDir() + "cherryrail-XXXXXX";
};

}  // namespace cherryrail::testing
