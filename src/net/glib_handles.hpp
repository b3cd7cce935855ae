// RAII handles for GLib objects and errors.
#pragma once

#include <gio/gio.h>

namespace cherryrail::net {

// Deleter for a GObject in a standard smart pointer.
struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// Receives the error of one GIO call and frees it.
class GlibError {
 public:
  GlibError() = default;
  ~GlibError() { g_clear_error(&error_); }
  GlibError(const GlibError&) = delete;
  GlibError& operator=(const GlibError&) = delete;

  // Pass as the last argument of the call.
  GError** out() { return &error_; }
  const char* message() const { return error_ ? error_->message : "unknown"; }
  bool is_would_block() const { return g_error_matches(error_, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE; }
  // Not a failure: the call is pending, or has to be repeated once the socket is ready.
  bool is_retryable() const {
    return is_would_block() || g_error_matches(error_, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
  }

 private:
  GError* error_ = nullptr;
};

}  // namespace cherryrail::net
