/** Topics of the platform's store whose records instances tell each other. */
export enum ToldTopic {
  Operators = 'operators',
  Servers = 'servers'
}
