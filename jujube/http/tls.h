// TLS for the server, through OpenSSL.
#ifndef JUJUBE_HTTP_TLS_H_
#define JUJUBE_HTTP_TLS_H_

#include <memory>

#include "jujube/base/result.h"
#include "jujube/http/server.h"
#include "jujube/http/stream.h"

namespace jujube::http {

// Loads the certificate chain and the key. Returns InvalidArgument, naming the
// file, if one can't be read or they don't belong together.
Result<std::shared_ptr<SSL_CTX>> makeTlsContext(const TlsFiles &files);

} // namespace jujube::http

#endif // JUJUBE_HTTP_TLS_H_
