/** Whether a backend server has room for a request: slots, memory, and time to read its prompt. */

/** The load and the capacity of the server. */
export interface ServerRoom {
  /** Prompt tokens that it has yet to read; see `BacklogEstimate`. */
  readonly backlogTokens: number
  /** Tokens of its memory that requests occupy. */
  readonly heldTokens: number
  /** Requests that it has. */
  readonly outstanding: number
  /** Prompt tokens that it reads in a millisecond. */
  readonly tokensPerMs: number
  /** Its memory, in tokens; 0 where unknown. */
  readonly memoryTokens: number
  readonly slots: number
  /** The next request is sent when the server needs less than this to read what it has, milliseconds. */
  readonly readAheadMs: number
}

/** What a request takes of the room. */
export interface RoomNeed {
  /** Prompt tokens that the server has to read. */
  readonly tokens: number
  /** Tokens of the server's memory that the request occupies until it ends. */
  readonly heldTokens: number
}

/** Share of the read-ahead below which an idle queue needs no decision of the owner. */
const NEARLY_IDLE_SHARE = 0.5

/**
 * A prompt whose reading takes less than this share of the read-ahead does not wait for reading: engines read urgent
 * short prompts between the pieces of large ones, and waiting here would cost more than it saves.
 */
export const SHORT_READ_SHARE = 0.5

/** Whether the server has room for a request. */
export function hasRoomFor (room: ServerRoom, { tokens, heldTokens }: RoomNeed): boolean {
  const hasMemory = room.memoryTokens === 0 || room.outstanding === 0 || room.heldTokens + heldTokens <= room.memoryTokens
  const readAheadTokens = room.readAheadMs * room.tokensPerMs
  const isRead = room.backlogTokens < readAheadTokens || tokens < SHORT_READ_SHARE * readAheadTokens
  return isRead && room.outstanding < room.slots && hasMemory
}

/** Whether a request can be sent without a decision of the owner, because the server is nearly idle. */
export function isNearlyIdle (room: ServerRoom, heldTokens: number): boolean {
  const hasMemory = room.memoryTokens === 0 || room.heldTokens + heldTokens <= NEARLY_IDLE_SHARE * room.memoryTokens
  return room.backlogTokens < NEARLY_IDLE_SHARE * room.readAheadMs * room.tokensPerMs && room.outstanding < NEARLY_IDLE_SHARE * room.slots && hasMemory
}
