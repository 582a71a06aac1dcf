#ifndef waxwingyoke_weights_ChunkRoutes_h
#define waxwingyoke_weights_ChunkRoutes_h

#include <atomic>
#include <string>

#include <net/Pacer.h>
#include <net/Router.h>

#include "ChunkStore.h"
#include "UploadLimit.h"

namespace waxwingyoke::weights {

/**
 * The HTTP routes that serve stored chunks and manifests to peers and to the
 * engine. Handlers may run on any thread.
 */
class ChunkRoutes
{
public:
  ChunkRoutes(const ChunkStore& aChunkStore, net::Pacer& aLink);

  /** For peers: any stored chunk, paced, with few concurrent uploads. */
  void AddPeerRoutes(net::Router& aRouter, const std::string& aSecret);

  /** For the engine beside this process: complete versions only, not paced. */
  void AddEngineRoutes(net::Router& aRouter);

  /** The number of chunks uploaded to peers so far. */
  std::uint64_t GetUploadedChunkCount() const { return uploadedChunks_.load(); }

private:
  void SendManifest(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter,
                    bool aCompleteOnly) const;
  void SendToPeer(const net::HttpRequest& aRequest,
                  net::ResponseWriter& aWriter);
  void SendToEngine(const net::HttpRequest& aRequest,
                    net::ResponseWriter& aWriter) const;
  bool TryBeginUpload(const utils::Digest& aChunk);
  void WritePaced(const std::string& aBytes, net::ResponseWriter& aWriter);

  const ChunkStore& chunkStore_;
  net::Pacer& link_;
  utils::Clock clock_;
  boost::fibers::mutex mutex_;
  UploadLimit uploadLimit_;
  std::atomic<int> activeUploads_{ 0 };
  std::atomic<std::uint64_t> uploadedChunks_{ 0 };
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_ChunkRoutes_h
