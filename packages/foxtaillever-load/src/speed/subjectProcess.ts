/** Starts a subject's process and requests measurements from it. */
import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { MessageKind, type Message, type SubjectSetup, type Usage } from './subject.js'

const MAIN = fileURLToPath(new URL('./subjectMain.js', import.meta.url))

export class SubjectProcess {
  private constructor (private readonly child: ChildProcess, readonly address: string) {}

  static async start (setup: SubjectSetup): Promise<SubjectProcess> {
    const child = fork(MAIN, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] })
    child.send({ kind: MessageKind.SetUp, setup })
    const message = await nextMessage(child)
    if (message.kind !== MessageKind.Ready) {
      throw new Error(`The ${setup.kind} did not start.`)
    }
    return new SubjectProcess(child, message.address)
  }

  /** Usage since the last call. */
  async measure (): Promise<Usage> {
    const answer = nextMessage(this.child)
    this.child.send({ kind: MessageKind.Measure })
    const message = await answer
    if (message.kind !== MessageKind.Usage) {
      throw new Error('A subject gave no usage.')
    }
    return message.usage
  }

  stop (): void {
    this.child.disconnect()
  }
}

async function nextMessage (child: ChildProcess): Promise<Message> {
  return await new Promise((resolve, reject) => {
    const onExit = (): void => reject(new Error('A subject\'s process ended.'))
    child.once('exit', onExit)
    child.once('message', (message: Message) => {
      child.off('exit', onExit)
      resolve(message)
    })
  })
}
