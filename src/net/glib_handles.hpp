// Ownership of what GLib hands out: objects and errors.
#pragma once

#include <gio/gio.h>

namespace cherryrail::net {

// The deleter of a GObject held by a standard smart pointer.
struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// Takes the error of one GIO call and frees it.
class GlibError {
 public:
  GlibError() = default;
  ~GlibError() { g_clear_error(&error_); }
  GlibError(const GlibError&) = delete;
  GlibError& operator=(const GlibError&) = delete;

  // To be passed as the last argument of the call.
  GError** out() { return &error_; }
  const char* message() const { return error_ ? error_->message : "unknown"; }
  bool is_would_block() const { return g_error_matches(error_, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE; }
  // The call goes on by itself or has to be made again once the socket is ready: no failure.
  bool is_to_be_continued() const {
    return is_would_block() || g_error_matches(error_, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
  }

 private:
  GError* error_ = nullptr;
};

}  // namespace cherryrail::net
